package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The most recent inter-arrival times of a model or adapter.
 *
 * @param idleSinceNanos time of the last arrival, or of the end of a load if that was later
 */
public record ArrivalHistory(long idleSinceNanos, List<Duration> interArrivalTimes) {

    // Enough to distinguish bursts from pauses; a history is kept for each of 47,000 adapters.
    private static final int MAX_INTER_ARRIVAL_TIMES = 32;

    /** Copies the list so that the record is immutable. */
    public ArrivalHistory {
        interArrivalTimes = List.copyOf(interArrivalTimes);
    }

    /** Returns a history with one arrival. */
    public static ArrivalHistory startingAt(long nowNanos) {
        return new ArrivalHistory(nowNanos, List.of());
    }

    /** Returns whether no inter-arrival time is known. */
    public boolean isEmpty() {
        return interArrivalTimes.isEmpty();
    }

    /** Adds an arrival. */
    public ArrivalHistory withArrival(long nowNanos) {
        List<Duration> next = new ArrayList<>(interArrivalTimes);
        next.add(Duration.ofNanos(Math.max(0, nowNanos - idleSinceNanos)));
        int from = Math.max(0, next.size() - MAX_INTER_ARRIVAL_TIMES);
        return new ArrivalHistory(nowNanos, next.subList(from, next.size()));
    }

    /** Restarts the idle time without an arrival, for example when a load has finished. */
    public ArrivalHistory withIdleSince(long nowNanos) {
        return new ArrivalHistory(nowNanos, interArrivalTimes);
    }
}
