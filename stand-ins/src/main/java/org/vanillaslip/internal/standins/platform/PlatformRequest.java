package org.vanillaslip.internal.standins.platform;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/**
 * A parsed request of the object API.
 *
 * @param name object name, or empty if the request is for a collection
 */
record PlatformRequest(
        CallKind kind, String collection, String name, long watchVersion, String failureDomain) {

    private static final String PATH_PREFIX = "/apis/vanillaslip.org/v1/";

    /** Parses a request; empty if the object API has no such call. */
    static Optional<PlatformRequest> parse(HttpServerRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        String path = decoder.rawPath();
        if (!path.startsWith(PATH_PREFIX)) {
            return Optional.empty();
        }
        String[] parts = path.substring(PATH_PREFIX.length()).split("/", 2);
        String name = parts.length < 2 ? "" : QueryStringDecoder.decodeComponent(parts[1]);
        String failureDomain = request.requestHeaders().get("X-Failure-Domain", "");
        boolean isWatch = parameter(decoder, "watch").equals("true");
        return parseKind(request.method().name(), !name.isEmpty(), isWatch)
                .map(
                        kind ->
                                new PlatformRequest(
                                        kind,
                                        parts[0],
                                        name,
                                        parseVersion(decoder),
                                        failureDomain));
    }

    private static Optional<CallKind> parseKind(String method, boolean hasName, boolean isWatch) {
        CallKind collectionRead = isWatch ? CallKind.WATCH : CallKind.LIST;
        return switch (method) {
            case "GET" -> Optional.of(hasName ? CallKind.READ : collectionRead);
            case "POST" -> hasName ? Optional.empty() : Optional.of(CallKind.CREATE);
            case "PUT" -> hasName ? Optional.of(CallKind.UPDATE) : Optional.empty();
            case "DELETE" -> hasName ? Optional.of(CallKind.DELETE) : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static long parseVersion(QueryStringDecoder decoder) {
        String text = parameter(decoder, "resourceVersion");
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private static String parameter(QueryStringDecoder decoder, String name) {
        return decoder.parameters().getOrDefault(name, List.of("")).get(0);
    }
}
