package org.vanillaslip;

import java.time.Duration;

/**
 * An HTTP path on which the gateway accepts requests.
 *
 * @param name the path, for example {@code /quotes/quick}
 * @param kind kind of the backend servers in the pool
 * @param pool pool of backend servers that serves the route
 * @param open whether requests need no key
 * @param repeatable whether a call may be sent to a backend server more than once
 * @param deadline maximum time until the final response starts; callers may request less
 */
public record Route(
        String name,
        BackendKind kind,
        String pool,
        boolean open,
        RequestClass requestClass,
        boolean repeatable,
        Duration deadline)
        implements ConfigurationItem {}
