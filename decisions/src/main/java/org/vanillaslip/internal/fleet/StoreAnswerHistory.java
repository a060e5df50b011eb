package org.vanillaslip.internal.fleet;

import java.time.Duration;

/**
 * Times at which the platform's store answered this host or a host that tells this one of it; used
 * on the decision loop only.
 *
 * <p>While the store answers some host, live servers can renew their entries. So only an outage for
 * all of these hosts can make entries of live servers expire, and a host that the store turns away
 * is no evidence of one. Neither is a time in which this host itself stood still.
 */
public final class StoreAnswerHistory {

    /**
     * Entries expire after three heartbeats without a renewal, 3.6 seconds. The last renewal may be
     * as old as one heartbeat when an outage begins, so a shorter outage expires no entry.
     */
    static final Duration MIN_OUTAGE = Duration.ofSeconds(2);

    /**
     * Live servers are listed again within two seconds of the end of an outage; the rest is for
     * reading the list.
     */
    public static final Duration RELISTING_TIME = Duration.ofMillis(2200);

    /** A host that shows no activity for longer stands still and notices no answers. */
    static final Duration MAX_ACTIVITY_INTERVAL = Duration.ofSeconds(1);

    private boolean mAnswered;
    private long mLastAnswerAt;
    private boolean mOutageEnded;
    private long mOutageEndedAt;
    private boolean mActive;
    private long mLastActiveAt;

    /** Time since the last answer in which this host stood still. */
    private long mStandstillNanos;

    /** Records that this host is running; called at least twice a second. */
    public void recordActivity(long nowNanos) {
        mStandstillNanos += standstillUntil(nowNanos);
        mActive = true;
        mLastActiveAt = nowNanos;
    }

    /** Records an answer of the store; answers may be recorded late and out of order. */
    public void recordAnswer(long answeredAtNanos, long nowNanos) {
        recordActivity(nowNanos);
        if (mAnswered && answeredAtNanos - mLastAnswerAt <= 0) {
            return;
        }
        if (mAnswered && isOutage(answeredAtNanos)) {
            mOutageEnded = true;
            mOutageEndedAt = answeredAtNanos;
        }
        mAnswered = true;
        mLastAnswerAt = answeredAtNanos;
        mStandstillNanos = 0;
    }

    /**
     * Records that the store has lost its latest changes, as entries are also lost in an outage.
     */
    public void recordRestore(long nowNanos) {
        mOutageEnded = true;
        mOutageEndedAt = nowNanos;
    }

    /** Returns the time since the last answer, or the maximum if there was none. */
    public long silenceNanos(long nowNanos) {
        return mAnswered ? nowNanos - mLastAnswerAt : Long.MAX_VALUE;
    }

    /**
     * Returns how long a server whose entry is removed now may still be listed again, because the
     * entry may have expired in an outage; zero without a recent outage.
     */
    public Duration relistingTime(long nowNanos) {
        if (mAnswered && isOutage(nowNanos - standstillUntil(nowNanos))) {
            return RELISTING_TIME;
        }
        if (!mOutageEnded) {
            return Duration.ZERO;
        }
        Duration left = RELISTING_TIME.minusNanos(nowNanos - mOutageEndedAt);
        return left.isNegative() ? Duration.ZERO : left;
    }

    private boolean isOutage(long nowNanos) {
        return nowNanos - mLastAnswerAt - mStandstillNanos > MIN_OUTAGE.toNanos();
    }

    private long standstillUntil(long nowNanos) {
        return mActive
                ? Math.max(0, nowNanos - mLastActiveAt - MAX_ACTIVITY_INTERVAL.toNanos())
                : 0;
    }
}
