package org.vanillaslip.internal.standins.engine;

/** Holds the active faults and the number of calls that they still affect. */
final class ActiveFaults {

    private EngineFaults mFaults = EngineFaults.NONE;
    private int mRemainingCalls;

    synchronized void set(EngineFaults faults) {
        mFaults = faults;
        mRemainingCalls = faults.times() == 0 ? Integer.MAX_VALUE : faults.times();
    }

    /** Returns the faults for the next call of the given kind, and counts it as affected. */
    synchronized EngineFaults consume(String kind) {
        if (mRemainingCalls <= 0 || !mFaults.affects(kind)) {
            return EngineFaults.NONE;
        }
        mRemainingCalls--;
        return mFaults;
    }
}
