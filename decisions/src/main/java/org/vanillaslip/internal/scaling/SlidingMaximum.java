package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Maximum of the values that were recorded within a time window. */
final class SlidingMaximum {

    private final long mWindowNanos;

    /** Values in the order of time; each one is larger than all later ones. */
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    SlidingMaximum(Duration window) {
        mWindowNanos = window.toNanos();
    }

    void record(double value, long nowNanos) {
        while (!mSamples.isEmpty() && mSamples.getLast().value() <= value) {
            mSamples.removeLast();
        }
        mSamples.addLast(new Sample(value, nowNanos));
        while (nowNanos - mSamples.getFirst().atNanos() > mWindowNanos) {
            mSamples.removeFirst();
        }
    }

    /** Returns the maximum, or 0 without values. */
    double maximum() {
        return mSamples.isEmpty() ? 0 : mSamples.getFirst().value();
    }

    void clear() {
        mSamples.clear();
    }

    private record Sample(double value, long atNanos) {}
}
