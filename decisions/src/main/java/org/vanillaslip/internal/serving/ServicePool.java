package org.vanillaslip.internal.serving;

import java.util.Optional;

/**
 * Pool of servers that answer the same calls.
 *
 * @param healthPath path of the health check
 * @param coldCallsPerSecond rate of calls that a cold server can take from all hosts together; 0
 *     for no limit
 * @param engine capacity of the model engines; empty for a pool of other services
 */
public record ServicePool(
        String name,
        String healthPath,
        double coldCallsPerSecond,
        Optional<EngineProfile> engine) {}
