package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * A request as it arrived from a caller.
 *
 * @param bodyDigest identifies the contents of the body
 */
record ReceivedCall(
        CallerConnection caller,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        byte[] bodyDigest,
        long arrivedNanos) {

    /** Returns the name of the host that the request is for, without a port, in lower case. */
    String host() {
        @Nullable String host = headers.get(HttpHeaderNames.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Returns the URI without its query. */
    String path() {
        int queryStart = uri.indexOf('?');
        return queryStart < 0 ? uri : uri.substring(0, queryStart);
    }
}
