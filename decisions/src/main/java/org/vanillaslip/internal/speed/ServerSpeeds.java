package org.vanillaslip.internal.speed;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Estimates the speeds of servers from the gaps between the events of their streams. A gap is
 * modelled as the product of the paces of pool, server and model.
 */
public final class ServerSpeeds {

    /** Limits of the speed; a lower one would keep a server from calls that show its recovery. */
    public static final double MIN_SPEED = 0.4;

    public static final double MAX_SPEED = 2.5;

    /** Longest gap that a host reports. */
    public static final int MAX_GAP_MILLIS = 1000;

    /** Far more events than a host receives from a server between two reports. */
    private static final long MAX_REPORTED_GAPS = 1_000_000;

    private final Map<String, ServerPace> mPaces = new HashMap<>();

    /**
     * Records gaps that a host has reported; numbers that no host can have measured are ignored.
     *
     * @return whether the gaps were recorded
     */
    public boolean record(
            MeasuredServer server, String model, long gaps, double sumMillis, long nowNanos) {
        boolean valid =
                gaps > 0
                        && gaps <= MAX_REPORTED_GAPS
                        && sumMillis >= 0
                        && sumMillis <= (double) gaps * MAX_GAP_MILLIS;
        if (!valid) {
            return false;
        }
        ServerPace pace = mPaces.get(server.instance());
        if (pace == null || !pace.server().equals(server)) {
            pace = new ServerPace(server, nowNanos);
            mPaces.put(server.instance(), pace);
        }
        pace.record(model, gaps, sumMillis, nowNanos);
        return true;
    }

    /** Forgets servers that are not among these, which have been removed or started again. */
    public void retain(Set<MeasuredServer> servers) {
        mPaces.values().removeIf(pace -> !servers.contains(pace.server()));
    }

    /** Estimates all speeds and returns which servers changed their class. */
    public List<SpeedChange> update(long nowNanos) {
        mPaces.values().removeIf(pace -> pace.expire(nowNanos));
        mPaces.values().stream()
                .collect(
                        Collectors.groupingBy(
                                pace -> pace.server().pool(), TreeMap::new, Collectors.toList()))
                .values()
                .forEach(pool -> updatePool(pool, nowNanos));
        return mPaces.values().stream()
                .map(pace -> pace.takeChange(nowNanos))
                .flatMap(Optional::stream)
                .toList();
    }

    private static void updatePool(Collection<ServerPace> pool, long nowNanos) {
        Map<String, Double> logPaces =
                MedianPolish.serverParts(
                        pool.stream().flatMap(pace -> pace.samples().stream()).toList());
        double median = logPaces.isEmpty() ? 0 : MedianPolish.median(logPaces.values());
        for (ServerPace pace : pool) {
            double logPace = logPaces.getOrDefault(pace.server().instance(), median);
            double speed = Math.exp(median - logPace);
            pace.approach(Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed)), nowNanos);
        }
    }

    /** Returns the speed of a server relative to the median of its pool; empty if unknown. */
    public Optional<Double> speed(MeasuredServer server) {
        return Optional.ofNullable(mPaces.get(server.instance()))
                .filter(pace -> pace.server().equals(server))
                .map(ServerPace::speed);
    }

    /** Returns the speeds of all servers with recent gaps. */
    public List<MeasuredSpeed> speeds() {
        return mPaces.values().stream()
                .map(pace -> new MeasuredSpeed(pace.server(), pace.speed()))
                .toList();
    }

    /** Forgets all gaps. */
    public void clear() {
        mPaces.clear();
    }
}
