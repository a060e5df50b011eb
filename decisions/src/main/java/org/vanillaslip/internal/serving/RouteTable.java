package org.vanillaslip.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a host with the longest matching path prefix. */
final class RouteTable {

    private final Map<String, Map<String, ServedRoute>> mByHost = new HashMap<>();

    RouteTable(List<ServedRoute> routes) {
        routes.forEach(
                route ->
                        mByHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                                .put(route.pathPrefix(), route));
    }

    /** Tries the path up to each slash, longest first, because every prefix ends with a slash. */
    Optional<ServedRoute> find(String host, String path) {
        Map<String, ServedRoute> prefixes = mByHost.getOrDefault(host, Map.of());
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            ServedRoute route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }
}
