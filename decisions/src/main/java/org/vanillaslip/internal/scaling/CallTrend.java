package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Number of concurrent calls of a pool and its expected number after the time that a new server
 * needs. A rise to a level that was reached before within the memory is taken for a wave and not
 * extrapolated.
 */
final class CallTrend {

    /** Averages out single calls, and holds more than two reports of each host. */
    private static final long AVERAGING_NANOS = Duration.ofSeconds(1).toNanos();

    /** Long enough to see a rise through the noise, short against a demand that doubles in 5 s. */
    private static final long MIN_RISE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Covers two waves of 17 s. */
    private static final long MEMORY_NANOS = Duration.ofSeconds(40).toNanos();

    /** Bounds the error of a rise from almost no calls. */
    private static final double MAX_GROWTH = 2;

    /** Random arrivals of a constant rate rarely exceed an earlier peak by more deviations. */
    private static final double NEW_PEAK_DEVIATIONS = 2;

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    void record(int calls, long nowNanos) {
        mSamples.addLast(new Sample(calls, average(calls, nowNanos), nowNanos));
        while (nowNanos - mSamples.getFirst().atNanos() > MEMORY_NANOS) {
            mSamples.removeFirst();
        }
    }

    private double average(int calls, long nowNanos) {
        double sum = calls;
        int count = 1;
        Iterator<Sample> samples = mSamples.descendingIterator();
        while (samples.hasNext()) {
            Sample sample = samples.next();
            if (nowNanos - sample.atNanos() >= AVERAGING_NANOS) {
                break;
            }
            sum += sample.calls();
            count++;
        }
        return sum / count;
    }

    /** Returns the average number of concurrent calls now. */
    double current() {
        return mSamples.isEmpty() ? 0 : mSamples.getLast().average();
    }

    /**
     * Returns the expected number of concurrent calls after the given time: a rise within such a
     * time to a new peak is expected to repeat once.
     */
    double expectedAfter(Duration time) {
        if (mSamples.isEmpty()) {
            return 0;
        }
        Sample last = mSamples.getLast();
        long history = last.atNanos() - mSamples.getFirst().atNanos();
        if (history < MIN_RISE_NANOS) {
            return last.average();
        }
        long rise = Math.max(MIN_RISE_NANOS, Math.min(time.toNanos(), history / 2));
        double earlierPeak = 0;
        double lowest = last.average();
        for (Sample sample : mSamples) {
            if (last.atNanos() - sample.atNanos() >= rise) {
                earlierPeak = Math.max(earlierPeak, sample.average());
                lowest = sample.average();
            } else {
                lowest = Math.min(lowest, sample.average());
            }
        }
        double now = last.average();
        if (now <= earlierPeak + NEW_PEAK_DEVIATIONS * Math.sqrt(earlierPeak)) {
            return now;
        }
        return Math.min(now + (now - lowest), now * MAX_GROWTH);
    }

    void clear() {
        mSamples.clear();
    }

    private record Sample(int calls, double average, long atNanos) {}
}
