package org.vanillaslip.internal.proofs.measures;

/** A request on its way through the model of a deployment. */
final class SimulatedRequest {

    /** How a request ended. */
    enum End {
        OPEN,
        ANSWERED,
        /** Refused at once, because its deadline could not be met or no server may load. */
        REFUSED,
        /** Refused at its deadline. */
        EXPIRED,
        /** Broken by the loss of its failure domain. */
        LOST
    }

    final Arrival mArrival;
    boolean mCold;
    boolean mAsked;
    long mStartedNanos = -1;
    End mEnd = End.OPEN;

    SimulatedRequest(Arrival arrival) {
        mArrival = arrival;
    }

    long deadlineNanos() {
        return mArrival.nanos() + mArrival.deadline().toNanos();
    }

    double waitSeconds() {
        return (mStartedNanos - mArrival.nanos()) / 1e9;
    }

    boolean isWaiting() {
        return mEnd == End.OPEN && mStartedNanos < 0;
    }
}
