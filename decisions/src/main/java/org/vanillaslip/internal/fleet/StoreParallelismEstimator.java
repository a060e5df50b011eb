package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns how many loads the weight store serves at full speed at once. Deployments do not say it;
 * beyond that number each load takes longer in proportion.
 */
public final class StoreParallelismEstimator {

    /** A load that took this much longer than usual was slowed; reports show an end late. */
    private static final double SLOWDOWN_THRESHOLD = 1.25;

    private final int mMaxParallelLoads;
    private final Map<String, LoadStart> mLoadStarts = new HashMap<>();
    private int mParallelLoads;
    private int mRunningLoads;
    private double mLoadNanos;
    private long mAccruedAt;

    /**
     * A load under way.
     *
     * @param setRunningLoads loads at its begin, this one included
     * @param loadNanos what all loads together had taken before
     */
    private record LoadStart(long atNanos, int running, double loadNanos) {}

    /**
     * Creates a speed without experience.
     *
     * @param maxParallelLoads loads at once that are never exceeded
     */
    public StoreParallelismEstimator(int maxParallelLoads) {
        mMaxParallelLoads = Math.max(1, maxParallelLoads);
        mParallelLoads = mMaxParallelLoads;
    }

    /** Returns the number of loads that may run at once. */
    public int parallelLoads() {
        return mParallelLoads;
    }

    /** Notes how many loads run from now on. */
    public void setRunningLoads(int loads, long nowNanos) {
        mLoadNanos += (double) mRunningLoads * (nowNanos - mAccruedAt);
        mAccruedAt = nowNanos;
        mRunningLoads = loads;
    }

    /** Notes the begin of a load. */
    public void recordLoadStart(String instance, long nowNanos) {
        setRunningLoads(mRunningLoads + 1, nowNanos);
        mLoadStarts.put(instance, new LoadStart(nowNanos, mRunningLoads, mLoadNanos));
    }

    /**
     * Notes the end of a load.
     *
     * @param fullSpeedTime time of a load at full speed
     */
    public void recordLoadEnd(String instance, Duration fullSpeedTime, long nowNanos) {
        LoadStart start = mLoadStarts.remove(instance);
        if (start == null || nowNanos <= start.atNanos()) {
            return;
        }
        setRunningLoads(Math.max(0, mRunningLoads - 1), nowNanos);
        double elapsedNanos = nowNanos - start.atNanos();
        // A store may share its speed all the time, or fix that of a load when it begins.
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
