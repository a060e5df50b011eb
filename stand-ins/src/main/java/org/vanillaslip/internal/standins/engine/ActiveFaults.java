package org.vanillaslip.internal.standins.engine;

/** Holds the faults in force and counts the calls that they affect. */
final class ActiveFaults {

    private EngineFaults mFaults = EngineFaults.NONE;
    private int mRemainingCalls;

    synchronized void set(EngineFaults faults) {
        mFaults = faults;
        mRemainingCalls = faults.times() == 0 ? Integer.MAX_VALUE : faults.times();
    }

    /** Returns the faults for one call of the given kind. */
    synchronized EngineFaults consume(String kind) {
        if (mRemainingCalls <= 0 || !mFaults.affects(kind)) {
            return EngineFaults.NONE;
        }
        mRemainingCalls--;
        return mFaults;
    }
}
