package org.vanillaslip.internal.logging;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.vanillaslip.MonotonicClock;

/**
 * Logs each unreadable entry of a collection once, until it is readable or gone. Writers that add
 * many such entries, or the same one again and again, cause a limited number of lines.
 */
public final class UnreadableEntries {

    private static final int MAX_LINES_PER_PERIOD = 20;
    private static final Duration PERIOD = Duration.ofMinutes(1);

    /** More names than this are not remembered, and so not logged, at the same time. */
    private static final int MAX_NAMES = 200;

    private static final int MAX_NAME_LENGTH = 100;

    private final LogEvent mEvent;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final Set<String> mNames = new HashSet<>();
    private long mPeriodStart;
    private int mLines;

    /** Creates a log of entries that uses the given event. */
    public UnreadableEntries(LogEvent event, MonotonicClock clock, EventLog log) {
        mEvent = event;
        mClock = clock;
        mLog = log;
        mPeriodStart = clock.nowNanos();
    }

    /** Logs the entry unless it is known to be unreadable. */
    public void report(String name, String fault) {
        if (mNames.size() < MAX_NAMES && mNames.add(limit(name)) && mayLog()) {
            mLog.log(mEvent, field("object", limit(name)), field("fault", fault));
        }
    }

    /** Forgets an entry that is readable or gone. */
    public void remove(String name) {
        mNames.remove(limit(name));
    }

    /** Forgets all entries that are not listed. */
    public void retain(Set<String> listed) {
        mNames.removeIf(known -> listed.stream().noneMatch(name -> limit(name).equals(known)));
    }

    private boolean mayLog() {
        long now = mClock.nowNanos();
        if (now - mPeriodStart >= PERIOD.toNanos()) {
            mPeriodStart = now;
            mLines = 0;
        }
        return mLines++ < MAX_LINES_PER_PERIOD;
    }

    private static String limit(String name) {
        return name.length() <= MAX_NAME_LENGTH ? name : name.substring(0, MAX_NAME_LENGTH);
    }
}
