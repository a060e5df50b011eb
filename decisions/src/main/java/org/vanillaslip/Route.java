package org.vanillaslip;

import java.time.Duration;

/**
 * A path that callers may use.
 *
 * @param name the path, for example {@code /quotes/quick}
 * @param kind kind of backend server that answers
 * @param pool pool of backend servers that answers
 * @param open whether the route needs no key
 * @param repeatable whether a call may be sent a second time
 * @param deadline longest time until the final answer starts, unless the caller asks for less
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
