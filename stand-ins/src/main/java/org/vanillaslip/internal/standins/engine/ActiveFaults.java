package org.vanillaslip.internal.standins.engine;

/** Holds the faults in force and counts the calls that they affect. */
final class ActiveFaults {

    private EngineFaults mFaults = EngineFaults.NONE;
    private int mLeft;

    synchronized void set(EngineFaults faults) {
        mFaults = faults;
        mLeft = faults.times() == 0 ? Integer.MAX_VALUE : faults.times();
    }

    /** Returns the faults for one call of the given kind. */
    synchronized EngineFaults next(String kind) {
        if (mLeft <= 0 || !mFaults.affects(kind)) {
            return EngineFaults.NONE;
        }
        mLeft--;
        return mFaults;
    }
}
