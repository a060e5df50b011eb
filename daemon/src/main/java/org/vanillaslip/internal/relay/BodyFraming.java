package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How a response shows the end of its body. */
enum BodyFraming {
    LENGTH,
    CHUNKED,
    /** The body ends with the connection, so its end does not show that it is complete. */
    CONNECTION_END;

    static BodyFraming of(HttpHeaders responseHeaders) {
        // Of the transfer codings, only this one shows the end of a body.
        if (responseHeaders.containsValue(
                HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
            return CHUNKED;
        }
        return responseHeaders.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }
}
