package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.internal.routing.SendSchedule;

/** The schedule of a server, as long as hosts ask this relay for permits. */
final class HeldSchedule {

    /** A new holder of a schedule waits until most sends reserved by the previous one are over. */
    private static final long HANDOVER_NANOS = Duration.ofSeconds(1).toNanos();

    /** Hosts repeat requests within this time, and reserved sends end before it is over. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    private final SendSchedule mSchedule;
    private long mRequestedAt;
    private boolean mHeld;

    HeldSchedule(long nowNanos) {
        mSchedule = new SendSchedule(nowNanos);
        mRequestedAt = nowNanos;
    }

    /**
     * Returns the schedule for a request to this host. A schedule that would begin anew instead
     * would not know the sends that it has already reserved.
     */
    SendSchedule use(long nowNanos) {
        if (!mHeld) {
            mSchedule.resumeAt(nowNanos + HANDOVER_NANOS);
        }
        mHeld = true;
        mRequestedAt = nowNanos;
        return mSchedule;
    }

    /** Records that a request was passed on, so that another host may lend sends. */
    void recordPassedOn() {
        mHeld = false;
    }

    /** Returns whether this host has lent the last send. */
    boolean isHeld() {
        return mHeld;
    }

    /** Returns whether no host needs the schedule of a server that is not listed. */
    boolean isUnused(long nowNanos) {
        return nowNanos - mRequestedAt > RETENTION_NANOS;
    }
}
