package org.vanillaslip.internal.usage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The time of day on which hosts agree, although the clock of each may be wrong or step. A host
 * that hears the clocks of others uses the median; otherwise the estimate that the lease holder has
 * sent, carried forward by the steady clock.
 */
public final class FleetClock {

    /** Longer than two reports of an idle host. */
    private static final long MAX_CLOCK_AGE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Steady clocks differ by less than 10 ms within this time. */
    private static final long MAX_ESTIMATE_AGE_NANOS = Duration.ofSeconds(60).toNanos();

    /** If the two clocks of a host advance by amounts that differ more, one was set or stopped. */
    private static final long CLOCK_TOLERANCE_MILLIS = 200;

    private final Map<String, Reading> mClocks = new HashMap<>();
    private OptionalLong mEstimateOffset = OptionalLong.empty();
    private long mEstimateAt;
    private long mOwnOffsetAtEstimate;
    private long mOwnOffset;
    private OptionalLong mOffset = OptionalLong.empty();

    private record Reading(long offsetMillis, long atNanos) {}

    /** Records the clock of another host. */
    public void recordClock(String host, long timeOfDayMillis, long nowNanos) {
        mClocks.put(host, new Reading(offset(timeOfDayMillis, nowNanos), nowNanos));
    }

    /** Records the estimate of the lease holder. */
    public void recordEstimate(long timeOfDayMillis, long nowNanos) {
        mEstimateOffset = OptionalLong.of(offset(timeOfDayMillis, nowNanos));
        mEstimateAt = nowNanos;
        mOwnOffsetAtEstimate = mOwnOffset;
    }

    /** Estimates the time of day again from the clocks that are known now. */
    public void update(long ownTimeOfDayMillis, long nowNanos) {
        mClocks.values().removeIf(clock -> nowNanos - clock.atNanos() > MAX_CLOCK_AGE_NANOS);
        long own = offset(ownTimeOfDayMillis, nowNanos);
        mOwnOffset = own;
        if (!mClocks.isEmpty()) {
            mOffset = OptionalLong.of(median(own));
        } else if (mEstimateOffset.isPresent() && nowNanos - mEstimateAt <= maxEstimateAge()) {
            mOffset = mEstimateOffset;
        } else {
            mOffset = OptionalLong.of(own);
        }
    }

    /** After a suspension the steady clock is behind, so the estimate must be a new one. */
    private long maxEstimateAge() {
        boolean agree = Math.abs(mOwnOffset - mOwnOffsetAtEstimate) <= CLOCK_TOLERANCE_MILLIS;
        return agree ? MAX_ESTIMATE_AGE_NANOS : MAX_CLOCK_AGE_NANOS;
    }

    /** Returns the time of day; {@link #update} was called before. */
    public long millis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos) + mOffset.orElseThrow();
    }

    /** Of two middle clocks, the one that has stepped is farther from the last estimate. */
    private long median(long ownOffset) {
        List<Long> offsets =
                Stream.concat(
                                Stream.of(ownOffset),
                                mClocks.values().stream().map(Reading::offsetMillis))
                        .sorted()
                        .toList();
        long lower = offsets.get((offsets.size() - 1) / 2);
        long upper = offsets.get(offsets.size() / 2);
        long last = mOffset.orElse(lower);
        return LongStream.of(lower, upper)
                .boxed()
                .min((one, other) -> Long.compare(Math.abs(one - last), Math.abs(other - last)))
                .orElse(lower);
    }

    private static long offset(long timeOfDayMillis, long nowNanos) {
        return timeOfDayMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
