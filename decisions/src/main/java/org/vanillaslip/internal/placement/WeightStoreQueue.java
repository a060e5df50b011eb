package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Estimates the wait for the weight store.
 *
 * @param startsPerSecond loads that the store starts in a second
 * @param parallel loads that run at full speed at the same time
 * @param adaptersInFlight most adapter loads at the same time
 */
public record WeightStoreQueue(double startsPerSecond, int parallel, int adaptersInFlight) {

    /** Returns the time until a load that is queued behind the given number has finished. */
    public Duration finish(int ahead, Duration load) {
        double startWait = ahead / startsPerSecond;
        double slotWait = (double) (ahead / parallel) * load.toNanos() / 1e9;
        return load.plusNanos((long) (Math.max(startWait, slotWait) * 1e9));
    }

    /** Returns whether one more remote load would still run at full speed. */
    public boolean admits(int inFlight) {
        return inFlight < parallel;
    }
}
