package org.vanillaslip.internal.standins.service;

import java.time.Duration;

/** Holds the active fault and the number of calls that it still affects. */
final class ActiveFault {

    private ServiceFault mFault = ServiceFault.NONE;
    private int mRemainingCalls;
    private Duration mDelay = Duration.ZERO;

    synchronized void set(ServiceFault fault, int times, Duration delay) {
        mFault = fault;
        mRemainingCalls = times;
        mDelay = delay;
    }

    synchronized ServiceFault consume() {
        if (mRemainingCalls <= 0) {
            return ServiceFault.NONE;
        }
        mRemainingCalls--;
        return mFault;
    }

    synchronized Duration delay() {
        return mDelay;
    }
}
