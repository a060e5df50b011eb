package org.vanillaslip.internal.routing;

/**
 * Limits the rate of calls of one host to a server in the cold phase after its start, so that all
 * hosts together stay below the rate that the server can sustain.
 */
public final class ColdServerRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextAt = Long.MIN_VALUE;

    /** Returns whether a call may be sent now, without recording one. */
    public boolean allows(long nowNanos) {
        return mNextAt == Long.MIN_VALUE || nowNanos - mNextAt >= 0;
    }

    /**
     * Records a call, which delays the next one.
     *
     * @param callsPerSecond rate that the server can sustain
     * @param hosts hosts that may send calls
     */
    public void recordCall(double callsPerSecond, int hosts, long nowNanos) {
        mNextAt = nowNanos + (long) (Math.max(1, hosts) / callsPerSecond * NANOS_PER_SECOND);
    }
}
