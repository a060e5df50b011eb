package org.vanillaslip.internal.routing;

/**
 * Limits the rate of calls from this host to a cold server, so that all hosts together stay below
 * the rate that the server can sustain.
 */
public final class ColdServerRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextCallNanos = Long.MIN_VALUE;

    /** Returns whether a call may be sent now; does not record a call. */
    public boolean permits(long nowNanos) {
        return mNextCallNanos == Long.MIN_VALUE || nowNanos - mNextCallNanos >= 0;
    }

    /**
     * Records a call and delays the next one.
     *
     * @param callsPerSecond rate that the server can sustain
     * @param hosts number of hosts that may send calls to the server
     */
    public void recordCall(double callsPerSecond, int hosts, long nowNanos) {
        mNextCallNanos = nowNanos + (long) (Math.max(1, hosts) / callsPerSecond * NANOS_PER_SECOND);
    }
}
