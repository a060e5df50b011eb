package org.vanillaslip.internal.serving;

import java.util.Optional;

/**
 * Pool of servers that answer the same calls.
 *
 * @param healthPath path of the health check
 * @param coldCallsPerSecond rate of calls that a cold server can take from all hosts together; 0
 *     for no limit
 * @param engine capacity of the model engines; empty for a pool of other services
 * @param scaling limits of the number of servers, if hosts order it
 */
public record ServicePool(
        String name,
        String healthPath,
        double coldCallsPerSecond,
        Optional<EngineProfile> engine,
        Optional<ServerScaling> scaling) {

    /** Creates a pool whose number of servers the platform decides. */
    public ServicePool(
            String name,
            String healthPath,
            double coldCallsPerSecond,
            Optional<EngineProfile> engine) {
        this(name, healthPath, coldCallsPerSecond, engine, Optional.empty());
    }
}
