package org.vanillaslip.internal.usage;

import java.time.Duration;

/** Numbers windows of equal length from the start of 1970 in UTC. */
public final class UsageWindows {

    private final long mLengthMillis;

    /** Creates windows of the length, which is positive. */
    public UsageWindows(Duration length) {
        if (length.toMillis() <= 0) {
            throw new IllegalArgumentException("length is " + length + ", not positive");
        }
        mLengthMillis = length.toMillis();
    }

    /** Returns the window that contains the time. */
    public long at(long millis) {
        return Math.floorDiv(millis, mLengthMillis);
    }

    /** Returns the time at which the window ends and the next one begins. */
    public long endMillis(long window) {
        return (window + 1) * mLengthMillis;
    }

    /** Returns the last window that has ended at the time. */
    public long lastEnded(long millis) {
        return at(millis) - 1;
    }
}
