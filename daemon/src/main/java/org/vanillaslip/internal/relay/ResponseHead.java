package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** Status and headers of the first server that answered a stream. */
record ResponseHead(int status, HttpHeaders headers) {}
