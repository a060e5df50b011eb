package org.vanillaslip.internal.duty;

import java.time.InstantSource;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.FleetClock;
import org.vanillaslip.internal.usage.HostUsage;
import org.vanillaslip.internal.usage.UsageWindows;

/** Counts the calls of this host by window and workspace; used on the decision loop only. */
public final class UsageMeter {

    private final UsageWindows mWindows;
    private final FleetClock mClock = new FleetClock();
    private final HostUsage mUsage;
    private final InstantSource mTimeOfDay;
    private final DecisionLoop mLoop;

    /** Creates a meter that begins to count now. */
    public UsageMeter(UsageWindows windows, InstantSource timeOfDay, DecisionLoop loop) {
        mWindows = windows;
        mUsage = new HostUsage(windows);
        mTimeOfDay = timeOfDay;
        mLoop = loop;
        update();
    }

    /** Returns the count of a new call. */
    public CallUsage begin(String workspace, boolean stream) {
        return stream
                ? new CountedStream(workspace, this, mUsage)
                : new CountedCall(workspace, this, mUsage);
    }

    /** Estimates the time of day again; called periodically. */
    void update() {
        long now = now();
        mClock.update(mTimeOfDay.millis(), now);
        mUsage.update(mClock.millis(now));
    }

    UsageWindows windows() {
        return mWindows;
    }

    FleetClock clock() {
        return mClock;
    }

    HostUsage counts() {
        return mUsage;
    }

    /** Returns the clock of this host, which may be wrong. */
    long ownTimeOfDayMillis() {
        return mTimeOfDay.millis();
    }

    /** Returns the time of day on which the hosts agree. */
    long millis() {
        return mClock.millis(now());
    }

    /** Returns the present window. */
    long window() {
        return mWindows.at(millis());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
