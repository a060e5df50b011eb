package org.vanillaslip.internal.queue;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Measures how fast this host's calls end and begin on servers, while calls wait for them. */
public final class SlotTurnover {

    /** 4 s: averages out single answers, and follows a change of the load. */
    private static final long WINDOW_NANOS = 4_000_000_000L;

    /** 2 s: a shorter observation may lie between the ends of calls that began together. */
    private static final long MIN_OBSERVED_NANOS = 2_000_000_000L;

    /** Samples are taken each 100 ms; after a gap of two or more the observation begins anew. */
    private static final long MAX_GAP_NANOS = 250_000_000L;

    /** Fewer ended calls say too little about the rate. */
    private static final long MIN_ENDED = 8;

    private final Map<String, Deque<Sample>> mServers = new HashMap<>();

    /**
     * Records the state of a server.
     *
     * @param server identifies one start of a server
     * @param ended calls of this host that have ended since that start
     * @param running calls of this host that run
     */
    public void sample(String server, long ended, int running, long nowNanos) {
        Deque<Sample> samples = mServers.computeIfAbsent(server, name -> new ArrayDeque<>());
        Sample last = samples.peekLast();
        if (last != null && nowNanos - last.nanos() > MAX_GAP_NANOS) {
            samples.clear();
        }
        samples.addLast(new Sample(nowNanos, ended, ended + running));
        while (nowNanos - samples.getFirst().nanos() > WINDOW_NANOS) {
            samples.removeFirst();
        }
    }

    /** Drops servers that were not sampled lately. */
    public void prune(long nowNanos) {
        mServers.values().removeIf(samples -> !isCurrent(samples, nowNanos));
    }

    /** Returns the estimate for calls that can use the servers; empty without clear evidence. */
    public Optional<RoomEstimate> estimate(Collection<String> servers, long nowNanos) {
        long observed = WINDOW_NANOS;
        long ended = 0;
        double endRate = 0;
        double beginRate = 0;
        for (String server : servers) {
            Deque<Sample> samples = mServers.get(server);
            if (samples == null || !isCurrent(samples, nowNanos)) {
                return Optional.empty();
            }
            Sample first = samples.getFirst();
            Sample last = samples.getLast();
            long time = last.nanos() - first.nanos();
            observed = Math.min(observed, time);
            ended += last.ended() - first.ended();
            endRate += (last.ended() - first.ended()) * 1e9 / Math.max(1, time);
            beginRate += (last.begun() - first.begun()) * 1e9 / Math.max(1, time);
        }
        return observed < MIN_OBSERVED_NANOS || ended < MIN_ENDED
                ? Optional.empty()
                : Optional.of(new RoomEstimate(Math.max(endRate, beginRate)));
    }

    private static boolean isCurrent(Deque<Sample> samples, long nowNanos) {
        return nowNanos - samples.getLast().nanos() <= MAX_GAP_NANOS;
    }

    private record Sample(long nanos, long ended, long begun) {}
}
