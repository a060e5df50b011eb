package org.vanillaslip.internal.routing;

/**
 * Spaces the calls of one host to a cold server, so that all hosts together stay below the rate
 * that the server bears.
 */
public final class ColdServerRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextCallNanos = Long.MIN_VALUE;

    /** Returns whether a call may be sent now, without sending one. */
    public boolean permits(long nowNanos) {
        return mNextCallNanos == Long.MIN_VALUE || nowNanos - mNextCallNanos >= 0;
    }

    /**
     * Notes a call.
     *
     * @param callsPerSecond what the server bears
     * @param hosts hosts that may send calls
     */
    public void recordCall(double callsPerSecond, int hosts, long nowNanos) {
        mNextCallNanos = nowNanos + (long) (Math.max(1, hosts) / callsPerSecond * NANOS_PER_SECOND);
    }
}
