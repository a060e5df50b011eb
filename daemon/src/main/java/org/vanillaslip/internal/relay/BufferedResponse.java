package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** A complete answer of a backend server. */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {}
