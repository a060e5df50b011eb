package org.vanillaslip.internal.usage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The windows that hosts have had time to report to the lease holder. A host reports only its
 * oldest open windows at once, so later ones arrive after those are closed.
 */
public final class CollectionProgress {

    private final long mReportNanos;
    private final Deque<Closed> mClosed = new ArrayDeque<>();

    private record Closed(long through, long atNanos) {}

    /**
     * Creates a progress without closed windows.
     *
     * @param reportTime time in which all hosts hear of a closed window and report later ones
     */
    public CollectionProgress(Duration reportTime) {
        mReportNanos = reportTime.toNanos();
    }

    /** Records the last closed window, of which hosts are told now. */
    public void recordClosed(long through, long nowNanos) {
        if (mClosed.isEmpty() || through > mClosed.getLast().through()) {
            mClosed.addLast(new Closed(through, nowNanos));
        }
    }

    /** Forgets all windows, because another collection begins. */
    public void clear() {
        mClosed.clear();
    }

    /**
     * Returns the last window that each host has had time to report.
     *
     * @param lastNotKept last window that no host keeps, so that it delays no later ones
     */
    public long reportedThrough(long lastNotKept, long nowNanos) {
        while (mClosed.size() > 1 && isKnownToHosts(second(), nowNanos)) {
            mClosed.removeFirst();
        }
        if (mClosed.isEmpty() || !isKnownToHosts(mClosed.getFirst(), nowNanos)) {
            return Long.MIN_VALUE;
        }
        return Math.max(lastNotKept, mClosed.getFirst().through()) + HostUsage.MAX_COMPLETE_WINDOWS;
    }

    private Closed second() {
        return mClosed.stream().skip(1).findFirst().orElseThrow();
    }

    private boolean isKnownToHosts(Closed closed, long nowNanos) {
        return nowNanos - closed.atNanos() >= mReportNanos;
    }
}
