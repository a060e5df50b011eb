package org.vanillaslip.internal.fleet;

/** A caller of the overload simulation, with all its attempts. */
final class OverloadCall {

    final int mNumber;
    final OverloadKind mKind;
    final String mWorkspace;
    final String mModel;
    final int mEvents;
    final long mArrivedNanos;
    int mRefusals;
    long mFirstEventNanos = -1;
    boolean mLost;
    boolean mLeft;
    long mHeldNanos;

    OverloadCall(
            int number,
            OverloadKind kind,
            String workspace,
            String model,
            int events,
            long arrivedNanos) {
        mNumber = number;
        mKind = kind;
        mWorkspace = workspace;
        mModel = model;
        mEvents = events;
        mArrivedNanos = arrivedNanos;
    }

    boolean served() {
        return mFirstEventNanos >= 0;
    }

    boolean late() {
        return served() && mFirstEventNanos - mArrivedNanos > mKind.mObjectiveNanos;
    }

    /** Full value up to the objective, falling to 0 at the time at which the caller leaves. */
    double value() {
        if (!served()) {
            return 0;
        }
        double wait = mFirstEventNanos - mArrivedNanos;
        double late = (wait - mKind.mObjectiveNanos) / (mKind.mLeaveNanos - mKind.mObjectiveNanos);
        return mKind.mValue * Math.max(0, Math.min(1, 1 - late));
    }
}
