package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A growing count that several relays report, each from its own starting value. The total follows
 * the relay with the highest count, so that a repeated or late report, a restarted relay or a
 * change of relay counts nothing twice.
 */
final class MergedCounter {

    /** A relay with changes to report sends them within this time. */
    private static final long RELAY_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Longest time between two reports of a relay of a busy bucket, with their delay. */
    private static final long RELAY_INTERVAL_NANOS = Duration.ofMillis(700).toNanos();

    private final Map<String, RelayCount> mRelays = new HashMap<>();
    private long mTotal;

    /**
     * Returns whether the next report of the relay continues a count: its own, or that of another
     * relay that still reports.
     */
    boolean isContinued(String relay, long nowNanos) {
        return mRelays.containsKey(relay)
                || mRelays.values().stream()
                        .anyMatch(count -> nowNanos - count.mLastReportAt <= RELAY_INTERVAL_NANOS);
    }

    /**
     * Applies a report and returns the total since the first report.
     *
     * @param relay name and incarnation of the relay, which counts from zero after a restart
     */
    long update(String relay, long reported, long nowNanos) {
        RelayCount count = mRelays.get(relay);
        if (count == null) {
            mRelays.put(relay, new RelayCount(mTotal - reported, reported, nowNanos));
            return mTotal;
        }
        if (isOnlyActiveRelay(count, nowNanos)) {
            // The other relays have stopped reporting, so this one continues from the total.
            count.mOffset = mTotal - count.mReported;
        }
        count.mReported = reported;
        count.mLastReportAt = nowNanos;
        mTotal =
                mRelays.values().stream()
                        .mapToLong(known -> known.mOffset + known.mReported)
                        .max()
                        .orElse(mTotal);
        return mTotal;
    }

    private boolean isOnlyActiveRelay(RelayCount count, long nowNanos) {
        return mRelays.values().stream()
                .filter(other -> other != count)
                .allMatch(other -> nowNanos - other.mLastReportAt > RELAY_TIMEOUT_NANOS);
    }

    /** Removes relays that have not reported since the given point in time. */
    void removeSilentRelays(long sinceNanos) {
        mRelays.values().removeIf(count -> count.mLastReportAt - sinceNanos < 0);
    }

    /** The last count reported by a relay and its offset from the total. */
    private static final class RelayCount {
        private long mOffset;
        private long mReported;
        private long mLastReportAt;

        RelayCount(long offset, long reported, long lastReportAt) {
            mOffset = offset;
            mReported = reported;
            mLastReportAt = lastReportAt;
        }
    }
}
