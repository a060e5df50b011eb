package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds how many loads from the weight store begin within a window, whatever they take. */
public final class StoreLoadRateLimiter {

    /** The platform counts begins over windows of this length. */
    static final Duration WINDOW = Duration.ofSeconds(5);

    private final Deque<Long> mLoadStarts = new ArrayDeque<>();

    /** Notes a load that begins. */
    public void recordLoadStart(long nowNanos) {
        mLoadStarts.addLast(nowNanos);
    }

    /** Notes that another host ordered loads until now, which may have begun this many. */
    public void recordTakeover(int loads, long nowNanos) {
        mLoadStarts.clear();
        for (int load = 0; load < loads; load++) {
            mLoadStarts.addLast(nowNanos);
        }
    }

    /** Returns how many loads may begin now. */
    public int availableLoads(double loadsPerSecond, long nowNanos) {
        while (!mLoadStarts.isEmpty() && nowNanos - mLoadStarts.peekFirst() >= WINDOW.toNanos()) {
            mLoadStarts.removeFirst();
        }
        int maxLoads = Math.max(1, (int) (loadsPerSecond * WINDOW.toSeconds()));
        return Math.max(0, maxLoads - mLoadStarts.size());
    }
}
