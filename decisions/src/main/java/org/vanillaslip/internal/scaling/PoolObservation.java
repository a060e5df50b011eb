package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.List;

/**
 * What the lease holder knows of a pool.
 *
 * @param running calls that servers run, over all hosts that are heard from
 * @param waiting calls that wait for a server or a load
 * @param slotsPerServer number of requests that one server runs in parallel
 * @param recentModels number of models that callers asked for recently
 * @param modelEngines number of engines that can hold these models; 0 for a pool without engines
 * @param configuredEngines number of engines that can hold all models of the configuration
 * @param loadTime time of a load that a new server needs before it helps
 */
public record PoolObservation(
        int running,
        int waiting,
        int slotsPerServer,
        int recentModels,
        double modelEngines,
        double configuredEngines,
        Duration loadTime,
        List<DomainServers> domains) {

    /** Copies the list so that the record is immutable. */
    public PoolObservation {
        domains = List.copyOf(domains);
    }
}
