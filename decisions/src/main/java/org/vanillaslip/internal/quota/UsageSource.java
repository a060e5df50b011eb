package org.vanillaslip.internal.quota;

/**
 * Usage of one source as known to this host. A source is another host, or several hosts that a
 * relay aggregates.
 */
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

    /** Returns the demand of those hosts of the source from which its relays receive no reports. */
    double silentDemand() {
        return mSilentDemand;
    }

    /** Returns the tokens that the source has admitted since its first report to this host. */
    long totalAdmitted() {
        return mTotalAdmitted;
    }

    long lastReportAt() {
        return mLastReportAt;
    }

    /** Returns whether the source has reported at all, and last within the given time. */
    boolean hasReportedWithin(long nanos, long nowNanos) {
        return mHasReported && nowNanos - mLastReportAt <= nanos;
    }

    /** Adds tokens that the source is assumed to use while it does not report. */
    void assumeUsage(double tokens) {
        mAssumedUsage += tokens;
    }

    /** Adds tokens that the silent hosts of a reporting source are assumed to use. */
    void assumeSilentUsage(double tokens) {
        mAssumedSilentUsage += tokens;
    }

    /** Applies a host's own report and returns the resulting change of the bucket's level. */
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

    /** Applies a relay's report and returns the resulting change of the bucket's level. */
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

    /** Removes relays that have not reported since the given point in time. */
    void removeSilentRelays(long sinceNanos) {
        mRelayCounter.removeSilentRelays(sinceNanos);
    }

    private double recordReport(long used, boolean known, long nowNanos) {
        double change = known ? mAssumedUsage - used : 0;
        mAssumedUsage = 0;
        if (mSilentDemand == 0) {
            // All hosts report again, so this report includes the usage assumed until now.
            change += mAssumedSilentUsage;
            mAssumedSilentUsage = 0;
        }
        mTotalAdmitted += used;
        mLastReportAt = nowNanos;
        mHasReported = true;
        return change;
    }
}
