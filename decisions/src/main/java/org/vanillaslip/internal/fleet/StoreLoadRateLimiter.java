package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the number of weight store loads that start within a window, whatever their duration. */
public final class StoreLoadRateLimiter {

    /** Length of the window over which the platform counts started loads. */
    static final Duration WINDOW = Duration.ofSeconds(5);

    private final Deque<Long> mLoadStarts = new ArrayDeque<>();

    /** Records the start of a load. */
    public void recordLoadStart(long nowNanos) {
        mLoadStarts.addLast(nowNanos);
    }

    /** Records a takeover from another host, which may have started the given number of loads. */
    public void recordTakeover(int loads, long nowNanos) {
        mLoadStarts.clear();
        for (int load = 0; load < loads; load++) {
            mLoadStarts.addLast(nowNanos);
        }
    }

    /** Returns the number of loads that may start now. */
    public int availableLoads(double loadsPerSecond, long nowNanos) {
        while (!mLoadStarts.isEmpty() && nowNanos - mLoadStarts.peekFirst() >= WINDOW.toNanos()) {
            mLoadStarts.removeFirst();
        }
        int maxLoads = Math.max(1, (int) (loadsPerSecond * WINDOW.toSeconds()));
        return Math.max(0, maxLoads - mLoadStarts.size());
    }
}
