package org.vanillaslip.internal.queue;

import java.time.Duration;

/** Estimates the wait for one target from the service times of recent requests. */
public final class WaitEstimate {

    /** Weight of the newest request in the moving average, which covers about eight requests. */
    private static final double NEWEST_WEIGHT = 0.125;

    private double mMeanServiceNanos;

    /** Records how long a request occupied a backend server. */
    public void recordServiceTime(long nanos) {
        mMeanServiceNanos =
                mMeanServiceNanos == 0
                        ? nanos
                        : mMeanServiceNanos + NEWEST_WEIGHT * (nanos - mMeanServiceNanos);
    }

    /**
     * Returns the estimated wait of a new request.
     *
     * @param requestsAhead waiting requests that are served before it
     * @param freeCapacity requests that the servers can take now
     * @param totalCapacity requests that the servers run at the same time
     */
    public Duration waitBehind(int requestsAhead, int freeCapacity, int totalCapacity) {
        if (requestsAhead < freeCapacity || totalCapacity <= 0) {
            return Duration.ZERO;
        }
        double rounds = (requestsAhead - freeCapacity + 1.0) / totalCapacity;
        return Duration.ofNanos((long) (rounds * mMeanServiceNanos));
    }
}
