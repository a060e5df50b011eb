package org.vanillaslip.internal.scaling;

import java.time.Duration;

/** Whether the number of servers of a pool and a failure domain has to be sent. */
public final class CountOrder {

    /** Time for the list of servers to follow beyond the boot time, which its heartbeats show. */
    private static final Duration LISTING_TIME = Duration.ofSeconds(5);

    /** Time beyond the boot time in which the list of servers follows. */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(15);

    private int mServers;
    private int mSettledServers;
    private boolean mPending;
    private boolean mDiffers;
    private long mDiffersSince;
    private long mSentAt;

    /** Creates an order that the platform is assumed to know. */
    public CountOrder(int servers) {
        mServers = servers;
        mSettledServers = servers;
    }

    /** Returns the number to order. */
    public int servers() {
        return mServers;
    }

    /** Orders another number. */
    public void order(int servers) {
        if (servers != mServers) {
            mServers = servers;
            mPending = true;
            mDiffers = false;
        }
    }

    /** Records that nothing shows whether the platform has received the number. */
    public void recordUncertain() {
        mPending = true;
    }

    /**
     * Compares the number with the list of servers, which follows after the boot time.
     *
     * @return whether the number is repeated because the list has not followed
     */
    public boolean compareWithList(int ready, Duration bootTime, long nowNanos) {
        if (mPending || ready == mServers) {
            mDiffers = false;
            return false;
        }
        if (!mDiffers) {
            mDiffers = true;
            mDiffersSince = nowNanos;
            mSentAt = nowNanos;
        }
        Duration followTime = bootTime.plus(LISTING_TIME);
        if (nowNanos - mDiffersSince < followTime.toNanos()
                || nowNanos - mSentAt < REPEAT_INTERVAL.toNanos()) {
            return false;
        }
        mPending = true;
        return true;
    }

    /** Returns whether the number has to be sent. */
    public boolean pending() {
        return mPending;
    }

    /** Returns whether the number has to be sent and is larger than what the platform knows. */
    public boolean raises() {
        return mPending && mServers > mSettledServers;
    }

    /** Records an answer that settles the number, unless another one was ordered since. */
    public void recordSettled(int servers, long nowNanos) {
        mSentAt = nowNanos;
        mSettledServers = servers;
        mPending = mPending && servers != mServers;
    }
}
