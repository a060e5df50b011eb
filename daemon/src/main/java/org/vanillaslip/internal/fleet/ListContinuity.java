package org.vanillaslip.internal.fleet;

import java.time.Duration;

/**
 * Tracks since when this host has followed a list without a gap. After a silence, a list or an
 * event shows only the last of several changes of an entry.
 */
final class ListContinuity {

    /**
     * Longer than the time between two confirmations of relays or after the loss of both, and too
     * short for a server to start, execute orders and be listed again with its next start.
     */
    private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(3).toNanos();

    private boolean mHeard;
    private long mHeardAt;
    private long mFollowedSince;

    /** Records a list, an event or a bookmark. */
    void recordHeard(long nowNanos) {
        if (!mHeard || nowNanos - mHeardAt > MAX_SILENCE_NANOS) {
            mFollowedSince = nowNanos;
        }
        mHeard = true;
        mHeardAt = nowNanos;
    }

    /** Returns whether no entry can have been missed within the last time. */
    boolean coversLast(long nanos, long nowNanos) {
        return mHeard && nowNanos - mFollowedSince > nanos;
    }
}
