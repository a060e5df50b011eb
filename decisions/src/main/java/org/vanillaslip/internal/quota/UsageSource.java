package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Usage of one source as known to this host. A source is another host, or several hosts that a
 * relay aggregates. Between its reports a source is assumed to use tokens. A report replaces the
 * assumption if it continues the count of an earlier one; otherwise the actual usage is unknown,
 * and the assumption stands. What was assumed while nobody reported is never given back, but usage
 * that is reported late is charged against it.
 */
final class UsageSource {

    /** Time after a silence in which relays pass on what was used in it. */
    private static final long LATE_REPORTS_NANOS = Duration.ofSeconds(1).toNanos();

    private final MergedCounter mRelayCounter = new MergedCounter();
    private final OptionalDouble mExpectedDemand;
    private String mIncarnation = "";
    private long mAdmitted;
    private long mTotalAdmitted;
    private double mDemand;
    private double mSilentDemand;
    private int mHosts;
    private final long mCreatedAt;
    private long mLastReportAt;
    private boolean mHasReported;
    private double mAssumedUsage;
    private double mAssumedSilentUsage;
    private long mSilentAt;

    /**
     * Creates a source that has not reported yet.
     *
     * @param expectedDemand demand until the first report, if there is a reason to expect one
     */
    UsageSource(int hosts, OptionalDouble expectedDemand, long nowNanos) {
        mHosts = hosts;
        mExpectedDemand = expectedDemand;
        mCreatedAt = nowNanos;
        mLastReportAt = nowNanos;
    }

    int hosts() {
        return mHosts;
    }

    void setHosts(int hosts) {
        mHosts = hosts;
    }

    boolean hasReported() {
        return mHasReported;
    }

    /** Returns the demand last reported, or else the expected one. */
    double demand() {
        return mHasReported ? mDemand : mExpectedDemand.orElse(0);
    }

    /** Returns whether the demand is neither reported nor expected. */
    boolean isDemandUnknown(long timeoutNanos, long nowNanos) {
        return !mHasReported && (mExpectedDemand.isEmpty() || nowNanos - mCreatedAt > timeoutNanos);
    }

    /** Returns the demand of those hosts of the source from which its relays receive no reports. */
    double silentDemand() {
        return mSilentDemand;
    }

    /** Returns the tokens that the source has admitted since its first report to this host. */
    long totalAdmitted() {
        return mTotalAdmitted;
    }

    /** Returns the tokens that the source is expected to have used since its last report. */
    long assumedUsage() {
        return (long) mAssumedUsage;
    }

    long lastReportAt() {
        return mLastReportAt;
    }

    /** Returns whether the source has reported at all, and last within the given time. */
    boolean hasReportedWithin(long nanos, long nowNanos) {
        return mHasReported && nowNanos - mLastReportAt <= nanos;
    }

    /** Adds tokens that the source is expected to use until its next report. */
    void assumeUsage(double tokens) {
        mAssumedUsage += tokens;
    }

    /** Adds tokens that the source, or those of its hosts that are silent, are assumed to use. */
    void assumeSilentUsage(double tokens, long nowNanos) {
        if (tokens > 0) {
            mAssumedSilentUsage += tokens;
            mSilentAt = nowNanos;
        }
    }

    /** Applies a host's own report and returns the resulting change of the bucket's level. */
    double apply(String incarnation, BucketUsage usage, long nowNanos) {
        boolean first = mIncarnation.isEmpty();
        boolean continued = mIncarnation.equals(incarnation);
        long used = continued ? usage.admitted() - mAdmitted : usage.admitted();
        mIncarnation = incarnation;
        mAdmitted = usage.admitted();
        mDemand = usage.demandPerSecond();
        mSilentDemand = 0;
        if (continued) {
            return settle(used, nowNanos);
        }
        return settleUnknown(first ? 0 : used, nowNanos);
    }

    /** Applies a relay's report and returns the resulting change of the bucket's level. */
    double apply(String relay, BucketSummary summary, long nowNanos) {
        boolean first = !mHasReported;
        boolean continued = mRelayCounter.isContinued(relay, nowNanos);
        long total = mRelayCounter.update(relay, summary.admitted(), nowNanos);
        long used = total - mAdmitted;
        mAdmitted = total;
        mDemand = summary.demandPerSecond();
        mHosts = summary.hosts();
        mSilentDemand = summary.silentDemandPerSecond();
        return first || !continued ? settleUnknown(0, nowNanos) : settle(used, nowNanos);
    }

    /** Removes relays that have not reported since the given point in time. */
    void removeSilentRelays(long sinceNanos) {
        mRelayCounter.removeSilentRelays(sinceNanos);
    }

    /** Replaces the expected usage by the actual one. */
    private double settle(long used, long nowNanos) {
        double change = mAssumedUsage - used;
        change += takeSilentUsage(-change, nowNanos);
        mTotalAdmitted += used;
        recordReport(nowNanos);
        return change;
    }

    /** Keeps the expected usage, unless more is known to be used. */
    private double settleUnknown(long knownUsage, long nowNanos) {
        double more = Math.max(0, knownUsage - mAssumedUsage);
        if (mHasReported || mExpectedDemand.isPresent()) {
            mTotalAdmitted += (long) (mAssumedUsage + more);
        }
        double change = takeSilentUsage(more, nowNanos) - more;
        recordReport(nowNanos);
        return change;
    }

    /** Takes usage that is reported late out of what was assumed, and returns how much it is. */
    private double takeSilentUsage(double tokens, long nowNanos) {
        if (mSilentDemand > 0) {
            // What is reported now was not used by the silent hosts.
            return 0;
        }
        if (nowNanos - mSilentAt > LATE_REPORTS_NANOS) {
            mAssumedSilentUsage = 0;
        }
        double taken = Math.max(0, Math.min(tokens, mAssumedSilentUsage));
        mAssumedSilentUsage -= taken;
        return taken;
    }

    private void recordReport(long nowNanos) {
        mAssumedUsage = 0;
        mLastReportAt = nowNanos;
        mHasReported = true;
    }
}
