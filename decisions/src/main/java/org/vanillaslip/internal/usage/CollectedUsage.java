package org.vanillaslip.internal.usage;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** The counts of all processes, as the lease holder has heard them. */
public final class CollectedUsage {

    /** A process that is silent for this long has ended, and its windows have been closed. */
    private static final long MAX_SILENCE_NANOS = Duration.ofMinutes(10).toNanos();

    /** A host that was heard within this time is waited for. */
    private static final long LIVE_NANOS = Duration.ofMillis(2500).toNanos();

    /** Closed windows that are kept, to notice counts that arrive late. */
    private static final int CLOSED_WINDOWS = 6;

    private final Map<UsageSource, Source> mSources = new HashMap<>();

    private static final class Source {
        private final NavigableMap<Long, Received> mWindows = new TreeMap<>();
        private long mFirstWindow = Long.MAX_VALUE;
        private long mHeardAtNanos;
    }

    private record Received(long sequence, UsageSnapshot snapshot) {}

    /**
     * Records what a process has counted. Older messages of the process change nothing.
     *
     * @param firstWindow first window in which the process counted, not all of it
     * @param sequence number of the message, which grows
     * @param closedBefore windows up to this one are closed since before the counts are collected
     * @param closedThrough last closed window
     * @return the number of calls that came too late for their window
     */
    public long record(
            UsageSource source,
            long firstWindow,
            long sequence,
            List<UsageSnapshot> snapshots,
            long closedBefore,
            long closedThrough,
            long nowNanos) {
        Source state = mSources.computeIfAbsent(source, added -> new Source());
        state.mFirstWindow = Math.min(state.mFirstWindow, firstWindow);
        state.mHeardAtNanos = nowNanos;
        long late = 0;
        for (UsageSnapshot snapshot : snapshots) {
            Received before = state.mWindows.get(snapshot.window());
            if (before != null && before.sequence() > sequence) {
                continue;
            }
            state.mWindows.put(snapshot.window(), new Received(sequence, snapshot));
            if (snapshot.window() > closedBefore && snapshot.window() <= closedThrough) {
                long counted = before == null ? 0 : before.snapshot().calls();
                late += Math.max(0, snapshot.calls() - counted);
            }
        }
        return late;
    }

    /** Forgets all counts. */
    public void clear() {
        mSources.clear();
    }

    /** Forgets windows that have been closed for some time, and processes that have ended. */
    public void removeClosed(long closedThrough, long nowNanos) {
        mSources.values()
                .forEach(
                        source ->
                                source.mWindows
                                        .headMap(closedThrough - CLOSED_WINDOWS, true)
                                        .clear());
        mSources.values()
                .removeIf(
                        source ->
                                source.mWindows.isEmpty()
                                        && nowNanos - source.mHeardAtNanos > MAX_SILENCE_NANOS);
    }

    /** Returns the earliest window in which a process counted. */
    public OptionalLong firstWindow() {
        return mSources.values().stream().mapToLong(source -> source.mFirstWindow).min();
    }

    /**
     * Returns what is collected of a window, or nothing while a live host may add to it.
     *
     * @param live names of the hosts that are reachable
     * @param listed names of all hosts
     * @param timeIsUp whether no host is waited for any longer
     * @param newDeployment whether no process has ended before the first one that is known
     */
    public Optional<Settlement> settle(
            long window,
            Collection<String> live,
            Collection<String> listed,
            boolean timeIsUp,
            boolean newDeployment,
            long nowNanos) {
        Set<String> awaited = new HashSet<>(live);
        mSources.forEach(
                (source, state) -> {
                    if (nowNanos - state.mHeardAtNanos <= LIVE_NANOS) {
                        awaited.add(source.host());
                    }
                });
        if (!timeIsUp && !awaited.stream().allMatch(host -> hasFinished(host, window))) {
            return Optional.empty();
        }
        TreeMap<String, Long> calls = new TreeMap<>();
        TreeSet<String> counted = new TreeSet<>();
        TreeSet<String> missing = new TreeSet<>(listed);
        missing.addAll(awaited);
        missing.removeIf(host -> hasFinished(host, window));
        boolean known = false;
        for (Map.Entry<UsageSource, Source> entry : mSources.entrySet()) {
            Received received = entry.getValue().mWindows.get(window);
            if (received == null) {
                continue;
            }
            String host = entry.getKey().host();
            counted.add(host);
            if (!received.snapshot().complete()) {
                missing.add(host);
            }
            known |= newDeployment || entry.getValue().mFirstWindow < window;
            received.snapshot()
                    .callsByWorkspace()
                    .forEach((workspace, count) -> calls.merge(workspace, count, Long::sum));
        }
        if (!known && !timeIsUp) {
            return Optional.empty();
        }
        return Optional.of(new Settlement(known, calls, counted, missing));
    }

    /** Returns whether the host has reported the complete window or started after it. */
    private boolean hasFinished(String host, long window) {
        return mSources.entrySet().stream()
                .filter(entry -> entry.getKey().host().equals(host))
                .map(Map.Entry::getValue)
                .anyMatch(
                        source -> {
                            Received received = source.mWindows.get(window);
                            return source.mFirstWindow > window
                                    || received != null && received.snapshot().complete();
                        });
    }

    /** Returns the hosts that have reported. */
    public Set<String> hosts() {
        return mSources.keySet().stream().map(UsageSource::host).collect(Collectors.toSet());
    }
}
