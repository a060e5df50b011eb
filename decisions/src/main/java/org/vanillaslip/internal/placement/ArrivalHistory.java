package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The last inter-arrival times of a model and its last arrival. */
public record ArrivalHistory(long idleSinceNanos, List<Duration> interArrivalTimes) {

    // Enough to tell bursts from pauses, small enough for 47,000 adapters.
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

    /** Starts the idle time again without an arrival, such as at the end of a load. */
    public ArrivalHistory withIdleSince(long nowNanos) {
        return new ArrivalHistory(nowNanos, interArrivalTimes);
    }
}
