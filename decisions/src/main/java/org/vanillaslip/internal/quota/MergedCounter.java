package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * One growing count that several relays report, each from a start of its own. The relay that is
 * ahead decides, so that a repeated or late report, a restarted relay or a change of relay counts
 * nothing twice.
 */
final class MergedCounter {

    /** A relay that has changes to report does so within this time. */
    private static final long RELAY_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<String, RelayCount> mRelays = new HashMap<>();
    private long mTotal;

    /**
     * Takes over a report and returns the count since this host began to listen.
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
            // A relay that is behind counts from here on, since the one ahead no longer does.
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

    /** Forgets relays that were not heard from since the given time. */
    void removeOlderThan(long nanos) {
        mRelays.values().removeIf(count -> count.mLastReportAt - nanos < 0);
    }

    /** What one relay has reported, and where it stood when it was first heard. */
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
