package org.vanillaslip.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route with the longest matching prefix of a host. */
final class RouteTable {

    private final Map<String, Map<String, ServedRoute>> mByHost = new HashMap<>();

    RouteTable(List<ServedRoute> routes) {
        routes.forEach(
                route ->
                        mByHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                                .put(route.pathPrefix(), route));
    }

    /** Every prefix ends with a slash, so only the parts of the path up to a slash can match. */
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
