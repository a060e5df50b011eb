package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** Status and headers of the first response to a streaming call. */
record ResponseHead(int status, HttpHeaders headers, BodyFraming framing) {}
