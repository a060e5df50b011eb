package org.vanillaslip.internal.quota;

/** What has changed since a relay last sent its summaries of a bucket. */
final class SummarySchedule {

    private long mSentAt;
    private double mUsed;
    private boolean mChanged;
    private long mAdmittedAtSend;

    /** Records that a source has used tokens, or has given some back if negative. */
    void recordUsage(long tokens) {
        mChanged |= tokens != 0;
        mUsed += Math.max(0, tokens);
    }

    void recordSent(long admitted, long nowNanos) {
        mSentAt = nowNanos;
        mUsed = 0;
        mChanged = false;
        mAdmittedAtSend = admitted;
    }

    boolean isDue(long admitted, long intervalNanos, long nowNanos) {
        return mChanged || admitted > mAdmittedAtSend || nowNanos - mSentAt >= intervalNanos;
    }

    double usedSinceSent() {
        return mUsed;
    }
}
