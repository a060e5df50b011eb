package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Outcomes of one workspace against a single bucket that starts full and never lets wait. */
final class Tally {

    private final Load mLoad;
    private final List<Long> mWaits = new ArrayList<>();
    private double mReference;
    private long mReferenceAt;
    private double mWindow;
    private long mWindowAt;
    private double mMostOver;
    private long mEntitled;
    private long mServed;
    private int mRequests;
    private int mWronglyRefused;

    Tally(Load load) {
        mLoad = load;
        mReference = load.burst();
        mWindow = load.burst();
    }

    /** Notes a request; returns whether it is inside the rate. */
    boolean arrive(Arrival arrival) {
        mReference = refill(mReference, arrival.at() - mReferenceAt);
        mReferenceAt = arrival.at();
        mRequests++;
        boolean inside = mReference >= arrival.tokens();
        if (inside) {
            mReference -= arrival.tokens();
            mEntitled += arrival.tokens();
        }
        return inside;
    }

    /** Notes spending; a bucket that runs dry shows by how much the bound was exceeded. */
    void charge(Arrival arrival, long now) {
        mWindow = refill(mWindow, now - mWindowAt) - arrival.tokens();
        mWindowAt = now;
        mMostOver = Math.max(mMostOver, -mWindow);
    }

    void serve(Arrival arrival, long now) {
        mServed += arrival.tokens();
        mWaits.add(now - arrival.at());
    }

    void refuse(boolean inside) {
        mWronglyRefused += inside ? 1 : 0;
    }

    int requests() {
        return mRequests;
    }

    int wronglyRefused() {
        return mWronglyRefused;
    }

    double mostOver() {
        return mMostOver;
    }

    double shareOfEntitlement() {
        return mEntitled == 0 ? 1 : (double) mServed / mEntitled;
    }

    double waitMillis(double quantile) {
        if (mWaits.isEmpty()) {
            return 0;
        }
        Collections.sort(mWaits);
        return mWaits.get((int) Math.min(mWaits.size() - 1, mWaits.size() * quantile)) / 1e6;
    }

    private double refill(double level, long nanos) {
        return Math.min(mLoad.burst(), level + nanos * mLoad.rate() / 1e9);
    }
}
