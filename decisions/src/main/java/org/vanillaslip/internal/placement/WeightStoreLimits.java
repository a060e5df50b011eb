package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Limits of the weight store, from which load times are estimated.
 *
 * @param startsPerSecond number of loads that the store starts per second
 * @param parallelLoads number of loads that run in parallel at full speed
 * @param parallelAdapterLoads maximum number of parallel adapter loads
 */
public record WeightStoreLimits(
        double startsPerSecond, int parallelLoads, int parallelAdapterLoads) {

    /**
     * Returns the share of one control shard. It is fixed, so that shards need no coordination and
     * a partitioned domain keeps its share; busy shards cannot use the share of idle ones. Every
     * shard may run one load, so a fleet with more shards than {@code parallelLoads} can exceed
     * that limit.
     */
    public WeightStoreLimits perShard(int domains, int shardsOfDomain) {
        int parts = domains * shardsOfDomain;
        return new WeightStoreLimits(
                startsPerSecond / parts,
                Math.max(1, parallelLoads / parts),
                Math.max(1, parallelAdapterLoads / parts));
    }

    /** Returns the minimum time between the starts of two loads. */
    public long startIntervalNanos() {
        return (long) (1e9 / startsPerSecond);
    }

    /** Returns the time until a load that is queued behind {@code ahead} others has finished. */
    public Duration estimateLoadTime(int loadsAhead, Duration loadTime) {
        double startWait = loadsAhead / startsPerSecond;
        double slotWait = (double) (loadsAhead / parallelLoads) * loadTime.toNanos() / 1e9;
        return loadTime.plusNanos((long) (Math.max(startWait, slotWait) * 1e9));
    }

    /** Returns whether another load from the store would run at full speed. */
    public boolean admitsLoad(int inFlight) {
        return inFlight < parallelLoads;
    }
}
