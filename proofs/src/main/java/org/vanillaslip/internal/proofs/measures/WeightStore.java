package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import org.vanillaslip.internal.placement.WeightStoreLimits;

/** The weight store: limited starts a second, and slower loads beyond the parallel limit. */
final class WeightStore {

    private final EventQueue mEvents;
    private final WeightStoreLimits mLimits;
    private long mNextStartNanos;
    private int mInFlight;
    private int mAdaptersInFlight;
    private int mMostInFlight;

    WeightStore(EventQueue events, WeightStoreLimits limits) {
        mEvents = events;
        mLimits = limits;
    }

    /** Loads a checkpoint; the action runs when it has arrived. */
    void load(Duration fullSpeed, Runnable loaded) {
        long start = Math.max(mEvents.nowNanos(), mNextStartNanos);
        mNextStartNanos = start + (long) (1e9 / mLimits.startsPerSecond());
        mEvents.at(start, () -> start(fullSpeed, loaded));
    }

    /** Loads an adapter. */
    void loadAdapter(Duration fullSpeed, Runnable loaded) {
        mAdaptersInFlight++;
        double slower = Math.max(1, (double) mAdaptersInFlight / mLimits.parallelAdapterLoads());
        mEvents.after(
                (long) (fullSpeed.toNanos() * slower),
                () -> {
                    mAdaptersInFlight--;
                    loaded.run();
                });
    }

    int mostInFlight() {
        return mMostInFlight;
    }

    // The speed is fixed when a load starts: loads that start later do not slow down this one.
    private void start(Duration fullSpeed, Runnable loaded) {
        mInFlight++;
        mMostInFlight = Math.max(mMostInFlight, mInFlight);
        double slower = Math.max(1, (double) mInFlight / mLimits.parallelLoads());
        mEvents.after(
                (long) (fullSpeed.toNanos() * slower),
                () -> {
                    mInFlight--;
                    loaded.run();
                });
    }
}
