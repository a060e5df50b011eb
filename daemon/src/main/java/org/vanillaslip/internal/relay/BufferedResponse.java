package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** A complete response of a backend server, held in memory. */
record BufferedResponse(int status, HttpHeaders headers, BodyFraming framing, byte[] body) {}
