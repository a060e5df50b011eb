package org.vanillaslip.internal.serving;

import java.util.Optional;

/**
 * Servers that answer the same calls.
 *
 * @param healthPath path of the health check
 * @param coldCallsPerSecond calls that a cold server bears from all hosts together; 0 for no limit
 * @param engine empty for a pool of plain services
 */
public record ServicePool(
        String name,
        String healthPath,
        double coldCallsPerSecond,
        Optional<EngineProfile> engine) {}
