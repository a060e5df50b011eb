package org.vanillaslip.internal.usage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The calls of one process in each window, and which of them the lease holder has to learn. */
public final class HostUsage {

    /** Clocks of hosts may differ by this much, so calls of the window may still be counted. */
    private static final Duration COMPLETION_DELAY = Duration.ofMillis(300);

    /** A closed window is kept this long, so that another holder can collect it again. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    /** Windows that are kept while no holder closes them; 5 minutes of windows of 5 s. */
    public static final int MAX_OPEN_WINDOWS = 60;

    /** Bounds a message; the holder closes windows in order, so the oldest are needed first. */
    static final int MAX_COMPLETE_WINDOWS = 4;

    /** Closed windows that are still reported once, so that the holder can name late counts. */
    private static final int CLOSED_WINDOWS = 3;

    /** Time between repeats of a complete window; some fit in before it is settled. */
    private static final long REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    private final UsageWindows mWindows;
    private final NavigableMap<Long, Window> mCounts = new TreeMap<>();
    private long mFirstWindow = Long.MAX_VALUE;
    private long mClosedThrough = Long.MIN_VALUE;
    private long mNowMillis;

    private static final class Window {
        private final Map<String, Long> mCalls = new HashMap<>();
        private long mSentAtNanos;
        private boolean mSent;
        private boolean mSentComplete;
    }

    /** Creates counts that begin with the first {@link #update}. */
    public HostUsage(UsageWindows windows) {
        mWindows = windows;
    }

    /** Sets the time of day; a window without calls is reported, too. */
    public void update(long nowMillis) {
        mNowMillis = nowMillis;
        long current = mWindows.at(nowMillis);
        mFirstWindow = Math.min(mFirstWindow, current);
        long newest = mCounts.isEmpty() ? current - 1 : mCounts.lastKey();
        for (long window = Math.max(newest + 1, current - MAX_OPEN_WINDOWS);
                window <= current;
                window++) {
            mCounts.put(window, new Window());
        }
        long lastRetained = mWindows.at(nowMillis - RETENTION.toMillis()) - 1;
        mCounts.headMap(Math.min(lastRetained, mClosedThrough + 1)).clear();
        mCounts.headMap(current - MAX_OPEN_WINDOWS).clear();
    }

    /** Returns the first window in which this process counted calls, not all of it. */
    public long firstWindow() {
        return mFirstWindow;
    }

    /** Returns the window of the present time. */
    public long currentWindow() {
        return mWindows.at(mNowMillis);
    }

    /** Sets the last window whose report no longer changes. */
    public void setClosedThrough(long window) {
        mClosedThrough = window;
    }

    /** Returns whether the report of the window no longer changes. */
    public boolean isClosed(long window) {
        return window <= mClosedThrough;
    }

    /** Counts a call in the window. */
    public void add(long window, String workspace) {
        mFirstWindow = Math.min(mFirstWindow, window);
        mCounts.computeIfAbsent(window, number -> new Window())
                .mCalls
                .merge(workspace, 1L, Long::sum);
    }

    /** Removes a call that was counted in the window. */
    public void remove(long window, String workspace) {
        Window counts = mCounts.get(window);
        if (counts != null) {
            counts.mCalls.computeIfPresent(
                    workspace, (name, calls) -> calls > 1 ? calls - 1 : null);
        }
    }

    /** Makes all windows due again, because another host collects them now. */
    public void resend() {
        mCounts.values()
                .forEach(
                        window -> {
                            window.mSent = false;
                            window.mSentComplete = false;
                        });
    }

    /**
     * Returns the windows that the lease holder has to learn now, and counts them as sent.
     *
     * @param runningInterval time between two reports of a window that has not ended
     */
    public List<UsageSnapshot> takeDue(long nowNanos, Duration runningInterval) {
        List<UsageSnapshot> due = new ArrayList<>();
        int completeWindows = 0;
        long oldest = Math.max(mClosedThrough, Long.MIN_VALUE + CLOSED_WINDOWS) - CLOSED_WINDOWS;
        for (Map.Entry<Long, Window> entry : mCounts.tailMap(oldest, false).entrySet()) {
            boolean complete = isComplete(entry.getKey());
            boolean closed = isClosed(entry.getKey());
            Window window = entry.getValue();
            if (closed && (!complete || window.mSentComplete)
                    || complete && !closed && ++completeWindows > MAX_COMPLETE_WINDOWS) {
                continue;
            }
            long interval = complete ? REPEAT_NANOS : runningInterval.toNanos();
            if (!window.mSent
                    || complete && !window.mSentComplete
                    || nowNanos - window.mSentAtNanos >= interval) {
                window.mSent = true;
                window.mSentComplete = complete;
                window.mSentAtNanos = nowNanos;
                due.add(new UsageSnapshot(entry.getKey(), complete, window.mCalls));
            }
        }
        return due;
    }

    private boolean isComplete(long window) {
        return mNowMillis >= mWindows.endMillis(window) + COMPLETION_DELAY.toMillis();
    }
}
