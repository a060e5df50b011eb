package org.vanillaslip.internal.quota;

/** What one host knows of a source of usage: another host, or several that a relay sums up. */
final class UsageSource {

    private final MergedCounter mRelayCounter = new MergedCounter();
    private String mIncarnation = "";
    private long mAdmitted;
    private long mTotalAdmitted;
    private double mDemand;
    private double mSilentDemand;
    private int mHosts;
    private long mLastReportAt;
    private boolean mHasReported;
    private double mAssumedUsage;
    private double mAssumedSilentUsage;

    UsageSource(int hosts, long nowNanos) {
        mHosts = hosts;
        mLastReportAt = nowNanos;
    }

    int hosts() {
        return mHosts;
    }

    void setHosts(int hosts) {
        mHosts = hosts;
    }

    double demand() {
        return mDemand;
    }

    /** Returns the demand of the source's hosts that its relays do not hear. */
    double silentDemand() {
        return mSilentDemand;
    }

    /** Returns the tokens that the source has admitted since this host first heard of it. */
    long totalAdmitted() {
        return mTotalAdmitted;
    }

    long lastReportAt() {
        return mLastReportAt;
    }

    /** Returns whether the source was heard at least once, and last within the given time. */
    boolean hasReportedWithin(long nanos, long nowNanos) {
        return mHasReported && nowNanos - mLastReportAt <= nanos;
    }

    /** Counts tokens that the whole silent source is assumed to use. */
    void assumeUsage(double tokens) {
        mAssumedUsage += tokens;
    }

    /** Counts tokens that the silent hosts of a source that is heard are assumed to use. */
    void assumeSilentUsage(double tokens) {
        mAssumedSilentUsage += tokens;
    }

    /** Takes over a host's own report and returns by how much the level of the bucket changes. */
    double apply(String incarnation, BucketUsage usage, long nowNanos) {
        long used = 0;
        if (mIncarnation.equals(incarnation)) {
            used = usage.admitted() - mAdmitted;
        } else if (!mIncarnation.isEmpty()) {
            used = usage.admitted();
        }
        boolean known = !mIncarnation.isEmpty();
        mIncarnation = incarnation;
        mAdmitted = usage.admitted();
        mDemand = usage.demandPerSecond();
        mSilentDemand = 0;
        return recordReport(used, known, nowNanos);
    }

    /** Takes over a relay's report and returns by how much the level of the bucket changes. */
    double apply(String relay, BucketSummary summary, long nowNanos) {
        long total = mRelayCounter.update(relay, summary.admitted(), nowNanos);
        long used = total - mAdmitted;
        boolean known = mHasReported;
        mAdmitted = total;
        mDemand = summary.demandPerSecond();
        mHosts = summary.hosts();
        mSilentDemand = summary.silentDemandPerSecond();
        return recordReport(used, known, nowNanos);
    }

    /** Forgets relays that stopped long ago. */
    void removeRelaysOlderThan(long nanos) {
        mRelayCounter.removeOlderThan(nanos);
    }

    private double recordReport(long used, boolean known, long nowNanos) {
        double change = known ? mAssumedUsage - used : 0;
        mAssumedUsage = 0;
        if (mSilentDemand == 0) {
            // All hosts are heard again, so the report counts what was assumed until now.
            change += mAssumedSilentUsage;
            mAssumedSilentUsage = 0;
        }
        mTotalAdmitted += used;
        mLastReportAt = nowNanos;
        mHasReported = true;
        return change;
    }
}
