package org.vanillaslip.internal.quota;

/** What one host knows of a source of usage: another host, or several that a relay sums up. */
final class UsageSource {

    private final MergedCounter mCounts = new MergedCounter();
    private String mIncarnation = "";
    private long mAdmitted;
    private long mCounted;
    private double mDemand;
    private double mUnheard;
    private int mHosts;
    private long mHeardAt;
    private boolean mHeard;
    private double mAssumed;
    private double mAssumedUnheard;

    UsageSource(int hosts, long nowNanos) {
        mHosts = hosts;
        mHeardAt = nowNanos;
    }

    int hosts() {
        return mHosts;
    }

    void expect(int hosts) {
        mHosts = hosts;
    }

    double demand() {
        return mDemand;
    }

    /** Returns the demand of the source's hosts that its relays do not hear. */
    double unheard() {
        return mUnheard;
    }

    /** Returns the tokens that the source has admitted since this host first heard of it. */
    long counted() {
        return mCounted;
    }

    long heardAt() {
        return mHeardAt;
    }

    /** Returns whether the source was heard at least once, and last within the given time. */
    boolean heardWithin(long nanos, long nowNanos) {
        return mHeard && nowNanos - mHeardAt <= nanos;
    }

    /** Counts tokens that the whole silent source is assumed to use. */
    void assume(double tokens) {
        mAssumed += tokens;
    }

    /** Counts tokens that the silent hosts of a source that is heard are assumed to use. */
    void assumeUnheard(double tokens) {
        mAssumedUnheard += tokens;
    }

    /** Takes over a host's own report and returns by how much the level of the bucket changes. */
    double apply(String incarnation, BucketUsage use, long nowNanos) {
        long used = 0;
        if (mIncarnation.equals(incarnation)) {
            used = use.admitted() - mAdmitted;
        } else if (!mIncarnation.isEmpty()) {
            used = use.admitted();
        }
        boolean known = !mIncarnation.isEmpty();
        mIncarnation = incarnation;
        mAdmitted = use.admitted();
        mDemand = use.demandPerSecond();
        mUnheard = 0;
        return taken(used, known, nowNanos);
    }

    /** Takes over a relay's report and returns by how much the level of the bucket changes. */
    double apply(String relay, BucketSummary sum, long nowNanos) {
        long total = mCounts.accept(relay, sum.admitted(), nowNanos);
        long used = total - mAdmitted;
        boolean known = mHeard;
        mAdmitted = total;
        mDemand = sum.demandPerSecond();
        mHosts = sum.hosts();
        mUnheard = sum.silentDemandPerSecond();
        return taken(used, known, nowNanos);
    }

    /** Forgets relays that stopped long ago. */
    void forgetRelaysBefore(long nanos) {
        mCounts.forgetBefore(nanos);
    }

    private double taken(long used, boolean known, long nowNanos) {
        double change = known ? mAssumed - used : 0;
        mAssumed = 0;
        if (mUnheard == 0) {
            // All hosts are heard again, so the report counts what was assumed until now.
            change += mAssumedUnheard;
            mAssumedUnheard = 0;
        }
        mCounted += used;
        mHeardAt = nowNanos;
        mHeard = true;
        return change;
    }
}
