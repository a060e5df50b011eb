package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import org.vanillaslip.ModelName;

/**
 * One request of a trace.
 *
 * @param entry non-negative number by which the load balancer chooses one of the living domains
 * @param service time that the engine needs for the whole response
 */
record Arrival(
        long nanos,
        int entry,
        String workspace,
        ModelName model,
        Duration deadline,
        Duration service) {}
