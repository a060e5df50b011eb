package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many parallel loads the weight store serves at full speed. Deployments don't
 * configure this number; above it the duration of each load grows in proportion.
 */
public final class StoreParallelismEstimator {

    /** Ratio to the full-speed time above which a load was slow; allows for delayed reports. */
    private static final double SLOWDOWN_THRESHOLD = 1.25;

    private final int mMaxParallelLoads;
    private final Map<String, LoadStart> mLoadStarts = new HashMap<>();
    private int mParallelLoads;
    private int mRunningLoads;
    private double mLoadNanos;
    private long mLoadNanosUpdatedAt;

    /**
     * State at the start of a load in progress.
     *
     * @param running number of running loads, including this one
     * @param loadNanos sum of the running times of all loads until then
     */
    private record LoadStart(long atNanos, int running, double loadNanos) {}

    /**
     * Creates an estimator that starts at the maximum.
     *
     * @param maxParallelLoads maximum number of parallel loads
     */
    public StoreParallelismEstimator(int maxParallelLoads) {
        mMaxParallelLoads = Math.max(1, maxParallelLoads);
        mParallelLoads = mMaxParallelLoads;
    }

    /** Returns the number of loads that may run in parallel. */
    public int parallelLoads() {
        return mParallelLoads;
    }

    /** Sets the number of loads that run from now on. */
    public void setRunningLoads(int loads, long nowNanos) {
        mLoadNanos += (double) mRunningLoads * (nowNanos - mLoadNanosUpdatedAt);
        mLoadNanosUpdatedAt = nowNanos;
        mRunningLoads = loads;
    }

    /** Records the start of a load. */
    public void recordLoadStart(String instance, long nowNanos) {
        setRunningLoads(mRunningLoads + 1, nowNanos);
        mLoadStarts.put(instance, new LoadStart(nowNanos, mRunningLoads, mLoadNanos));
    }

    /**
     * Records the end of a load and updates the estimate.
     *
     * @param fullSpeedTime duration of the load at full speed
     */
    public void recordLoadEnd(String instance, Duration fullSpeedTime, long nowNanos) {
        LoadStart start = mLoadStarts.remove(instance);
        if (start == null || nowNanos <= start.atNanos()) {
            return;
        }
        setRunningLoads(Math.max(0, mRunningLoads - 1), nowNanos);
        double elapsedNanos = nowNanos - start.atNanos();
        // The store may share its bandwidth continuously, or fix the rate of a load at its start.
        double parallel =
                Math.max(start.running(), (mLoadNanos - start.loadNanos()) / elapsedNanos);
        double slowdown = elapsedNanos / Math.max(1, fullSpeedTime.toNanos());
        if (slowdown > SLOWDOWN_THRESHOLD) {
            int servedAtFullSpeed = (int) Math.round(parallel / slowdown);
            mParallelLoads = Math.max(1, Math.min(mParallelLoads, servedAtFullSpeed));
        } else if (Math.round(parallel) >= mParallelLoads) {
            mParallelLoads = Math.min(mMaxParallelLoads, mParallelLoads + 1);
        }
    }
}
