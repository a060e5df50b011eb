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
    private static final double SLOWED = 1.25;

    private final int mMost;
    private final Map<String, Begin> mBegins = new HashMap<>();
    private int mParallel;
    private int mRunning;
    private double mLoadNanos;
    private long mAccruedAt;

    /**
     * A load under way.
     *
     * @param setRunningLoads loads at its begin, this one included
     * @param loadNanos what all loads together had taken before
     */
    private record Begin(long atNanos, int running, double loadNanos) {}

    /**
     * Creates a speed without experience.
     *
     * @param most loads at once that are never exceeded
     */
    public StoreParallelismEstimator(int most) {
        mMost = Math.max(1, most);
        mParallel = mMost;
    }

    /** Returns the number of loads that may run at once. */
    public int parallelLoads() {
        return mParallel;
    }

    /** Notes how many loads run from now on. */
    public void setRunningLoads(int loads, long nowNanos) {
        mLoadNanos += (double) mRunning * (nowNanos - mAccruedAt);
        mAccruedAt = nowNanos;
        mRunning = loads;
    }

    /** Notes the begin of a load. */
    public void recordLoadStart(String instance, long nowNanos) {
        setRunningLoads(mRunning + 1, nowNanos);
        mBegins.put(instance, new Begin(nowNanos, mRunning, mLoadNanos));
    }

    /**
     * Notes the end of a load.
     *
     * @param usual time of a load at full speed
     */
    public void recordLoadEnd(String instance, Duration usual, long nowNanos) {
        Begin begin = mBegins.remove(instance);
        if (begin == null || nowNanos <= begin.atNanos()) {
            return;
        }
        setRunningLoads(Math.max(0, mRunning - 1), nowNanos);
        double took = nowNanos - begin.atNanos();
        // A store may share its speed all the time, or fix that of a load when it begins.
        double parallel = Math.max(begin.running(), (mLoadNanos - begin.loadNanos()) / took);
        double slower = took / Math.max(1, usual.toNanos());
        if (slower > SLOWED) {
            int served = (int) Math.round(parallel / slower);
            mParallel = Math.max(1, Math.min(mParallel, served));
        } else if (Math.round(parallel) >= mParallel) {
            mParallel = Math.min(mMost, mParallel + 1);
        }
    }
}
