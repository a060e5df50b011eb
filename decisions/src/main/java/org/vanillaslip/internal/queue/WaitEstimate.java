package org.vanillaslip.internal.queue;

import java.time.Duration;

/** Estimates the wait for one target from the time that recent requests held a backend server. */
public final class WaitEstimate {

    /** Weight of the newest request; about the last eight requests matter. */
    private static final double NEWEST_WEIGHT = 0.125;

    private double mMeanServiceNanos;

    /** Records how long a request held its place on a backend server. */
    public void recordServiceTime(long nanos) {
        mMeanServiceNanos =
                mMeanServiceNanos == 0
                        ? nanos
                        : mMeanServiceNanos + NEWEST_WEIGHT * (nanos - mMeanServiceNanos);
    }

    /** Returns the wait behind the given requests with the given places, all of them taken. */
    public Duration waitBehind(int requestsAhead, int freeCapacity, int totalCapacity) {
        if (requestsAhead < freeCapacity || totalCapacity <= 0) {
            return Duration.ZERO;
        }
        double rounds = (requestsAhead - freeCapacity + 1.0) / totalCapacity;
        return Duration.ofNanos((long) (rounds * mMeanServiceNanos));
    }
}
