package org.vanillaslip.internal.proofs.measures;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of virtual time. */
final class EventQueue {

    private record Event(long nanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long mSequence;
    private long mNowNanos;

    EventQueue(long startNanos) {
        mNowNanos = startNanos;
    }

    long nowNanos() {
        return mNowNanos;
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(nanos, mNowNanos), mSequence++, action));
    }

    void after(long delayNanos, Runnable action) {
        at(mNowNanos + delayNanos, action);
    }

    void every(long intervalNanos, Runnable action) {
        after(
                intervalNanos,
                () -> {
                    action.run();
                    every(intervalNanos, action);
                });
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.element().nanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.nanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }
}
