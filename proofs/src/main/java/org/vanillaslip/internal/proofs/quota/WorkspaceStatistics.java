package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Request outcomes of one workspace, compared with a single token bucket that starts full and
 * grants or refuses each request immediately.
 */
final class WorkspaceStatistics {

    private final WorkspaceLoad mLoad;
    private final List<Long> mWaitsNanos = new ArrayList<>();
    private double mReferenceTokens;
    private long mReferenceRefilledNanos;
    private double mBoundTokens;
    private long mBoundRefilledNanos;
    private double mMaxTokensOverBound;
    private long mEntitledTokens;
    private long mServedTokens;
    private int mRequests;
    private int mWronglyRefused;

    WorkspaceStatistics(WorkspaceLoad load) {
        mLoad = load;
        mReferenceTokens = load.burstTokens();
        mBoundTokens = load.burstTokens();
    }

    /** Records a request and returns whether it is within the rate of the reference bucket. */
    boolean recordArrival(Arrival arrival) {
        mReferenceTokens =
                refill(mReferenceTokens, arrival.arrivalNanos() - mReferenceRefilledNanos);
        mReferenceRefilledNanos = arrival.arrivalNanos();
        mRequests++;
        boolean withinRate = mReferenceTokens >= arrival.tokens();
        if (withinRate) {
            mReferenceTokens -= arrival.tokens();
            mEntitledTokens += arrival.tokens();
        }
        return withinRate;
    }

    /** Records charged tokens; a negative bucket level is the excess over the bound. */
    void recordCharge(Arrival arrival, long now) {
        mBoundTokens = refill(mBoundTokens, now - mBoundRefilledNanos) - arrival.tokens();
        mBoundRefilledNanos = now;
        mMaxTokensOverBound = Math.max(mMaxTokensOverBound, -mBoundTokens);
    }

    void recordServed(Arrival arrival, long now) {
        mServedTokens += arrival.tokens();
        mWaitsNanos.add(now - arrival.arrivalNanos());
    }

    void recordRefusal(boolean withinRate) {
        mWronglyRefused += withinRate ? 1 : 0;
    }

    int requests() {
        return mRequests;
    }

    int wronglyRefused() {
        return mWronglyRefused;
    }

    double maxTokensOverBound() {
        return mMaxTokensOverBound;
    }

    double shareOfEntitlement() {
        return mEntitledTokens == 0 ? 1 : (double) mServedTokens / mEntitledTokens;
    }

    double waitMillis(double quantile) {
        if (mWaitsNanos.isEmpty()) {
            return 0;
        }
        Collections.sort(mWaitsNanos);
        return mWaitsNanos.get(
                        (int) Math.min(mWaitsNanos.size() - 1, mWaitsNanos.size() * quantile))
                / 1e6;
    }

    private double refill(double level, long nanos) {
        return Math.min(mLoad.burstTokens(), level + nanos * mLoad.tokensPerSecond() / 1e9);
    }
}
