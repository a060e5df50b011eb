package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Estimates the wait for the weight store.
 *
 * @param startsPerSecond loads that the store starts in a second
 * @param parallelLoads loads that run at full speed at the same time
 * @param parallelAdapterLoads most adapter loads at the same time
 */
public record WeightStoreLimits(
        double startsPerSecond, int parallelLoads, int parallelAdapterLoads) {

    /**
     * Returns the part of one control shard. It is fixed, so that no message is needed and a
     * partitioned domain keeps its part; idle shards lend nothing to busy ones. Every shard may run
     * one load, so a fleet with more shards than parallel loads can exceed the parallel limit.
     */
    public WeightStoreLimits perShard(int domains, int shardsOfDomain) {
        int parts = domains * shardsOfDomain;
        return new WeightStoreLimits(
                startsPerSecond / parts,
                Math.max(1, parallelLoads / parts),
                Math.max(1, parallelAdapterLoads / parts));
    }

    /** Returns the shortest time between two starts. */
    public long startIntervalNanos() {
        return (long) (1e9 / startsPerSecond);
    }

    /** Returns the time until a load that is queued behind the given number has finished. */
    public Duration estimateLoadTime(int ahead, Duration load) {
        double startWait = ahead / startsPerSecond;
        double slotWait = (double) (ahead / parallelLoads) * load.toNanos() / 1e9;
        return load.plusNanos((long) (Math.max(startWait, slotWait) * 1e9));
    }

    /** Returns whether one more remote load would still run at full speed. */
    public boolean admitsLoad(int inFlight) {
        return inFlight < parallelLoads;
    }
}
