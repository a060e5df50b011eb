package org.vanillaslip.internal.standins.platform;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The parts of a request of the object API.
 *
 * @param name object name, empty for a collection
 */
record PlatformRequest(
        CallKind kind, String collection, String name, long watchVersion, String failureDomain) {

    private static final String PREFIX = "/apis/vanillaslip.org/v1/";

    /** Returns the parts, or empty when the platform has no such call. */
    static Optional<PlatformRequest> of(HttpServerRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        String path = decoder.rawPath();
        if (!path.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String[] parts = path.substring(PREFIX.length()).split("/", 2);
        String name = parts.length < 2 ? "" : QueryStringDecoder.decodeComponent(parts[1]);
        String domain = request.requestHeaders().get("X-Failure-Domain", "");
        boolean watch = parameter(decoder, "watch").equals("true");
        return kind(request.method().name(), !name.isEmpty(), watch)
                .map(kind -> new PlatformRequest(kind, parts[0], name, version(decoder), domain));
    }

    private static Optional<CallKind> kind(String method, boolean object, boolean watch) {
        CallKind collectionRead = watch ? CallKind.WATCH : CallKind.LIST;
        return switch (method) {
            case "GET" -> Optional.of(object ? CallKind.READ : collectionRead);
            case "POST" -> object ? Optional.empty() : Optional.of(CallKind.CREATE);
            case "PUT" -> object ? Optional.of(CallKind.UPDATE) : Optional.empty();
            case "DELETE" -> object ? Optional.of(CallKind.DELETE) : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static long version(QueryStringDecoder decoder) {
        String text = parameter(decoder, "resourceVersion");
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private static String parameter(QueryStringDecoder decoder, String name) {
        return decoder.parameters().getOrDefault(name, List.of("")).get(0);
    }
}
