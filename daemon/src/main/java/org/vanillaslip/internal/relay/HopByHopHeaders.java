package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers, which apply to a single connection and must not be forwarded. */
public final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private HopByHopHeaders() {}

    /** Returns a copy without hop-by-hop headers and without Content-Length. */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP_HEADERS);
        dropped.add("content-length");
        List<String> connectionValues = headers.getAll(HttpHeaderNames.CONNECTION);
        connectionValues.forEach(
                value -> {
                    for (String name : value.split(",", -1)) {
                        dropped.add(name.strip().toLowerCase(Locale.ROOT));
                    }
                });
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                endToEnd.add(header.getKey(), header.getValue());
            }
        }
        return endToEnd;
    }
}
