package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleToIntFunction;
import org.vanillaslip.internal.serving.ServerScaling;

/**
 * One pool whose servers follow the ordered numbers after the boot time; time is virtual. A server
 * that is taken away leaves its ordered number as it is.
 */
final class ScalingSimulation {

    static final int SLOTS = 16;
    static final Duration BOOT_TIME = Duration.ofSeconds(8);
    static final Duration LOAD_TIME = Duration.ofSeconds(8);
    private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();

    /** A change and the time at which it was decided. */
    record Step(double atSeconds, ServerCountChange change) {}

    private final ServerScaling mLimits;
    private final ServerCountPlanner mPlanner = new ServerCountPlanner();
    private final Map<String, Integer> mReady = new TreeMap<>();
    private final Map<String, Integer> mCold = new TreeMap<>();
    private final Map<String, Set<String>> mLeaving = new TreeMap<>();
    private final Map<String, DomainView> mViews = new TreeMap<>();
    private final List<Boot> mBoots = new ArrayList<>();
    private final List<Step> mSteps = new ArrayList<>();
    private DoubleToIntFunction mCalls = seconds -> 0;
    private double mModelEngines;
    private double mConfiguredEngines;
    private boolean mGiveBackShowsAsLeaving;
    private long mNanos;

    ScalingSimulation(ServerScaling limits, Map<String, Integer> servers) {
        mLimits = limits;
        servers.forEach(
                (domain, count) -> {
                    mReady.put(domain, count);
                    mLeaving.put(domain, new HashSet<>());
                    mViews.put(domain, DomainView.FOLLOWED);
                });
    }

    static ServerScaling limits(int min, int max) {
        return new ServerScaling(min, max, BOOT_TIME);
    }

    void setCalls(DoubleToIntFunction callsAtSeconds) {
        mCalls = callsAtSeconds;
    }

    void setModelEngines(double engines) {
        mModelEngines = engines;
    }

    void setConfiguredEngines(double engines) {
        mConfiguredEngines = engines;
    }

    void setView(String domain, DomainView view) {
        mViews.put(domain, view);
    }

    /** Servers that are given back are listed as leaving instead of vanishing at once. */
    void setGiveBackShowsAsLeaving() {
        mGiveBackShowsAsLeaving = true;
    }

    /** All servers of a failure domain vanish, or come back cold. */
    void setServers(String domain, int ready, int cold) {
        mReady.put(domain, ready);
        mCold.put(domain, cold);
    }

    /** A server is listed as leaving although its number was not lowered. */
    void announceLeaving(String domain, String server) {
        mReady.merge(domain, -1, Integer::sum);
        mLeaving.get(domain).add(server);
    }

    /** The time of a leaving server is over. */
    void endLeaving(String domain, String server) {
        mLeaving.get(domain).remove(server);
    }

    void run(Duration time) {
        long end = mNanos + time.toNanos();
        while (mNanos < end) {
            mNanos += TICK_NANOS;
            for (Boot boot : List.copyOf(mBoots)) {
                if (mNanos - boot.readyAtNanos() >= 0) {
                    mBoots.remove(boot);
                    mReady.merge(boot.domain(), 1, Integer::sum);
                }
            }
            plan();
        }
    }

    private void plan() {
        List<DomainServers> domains = new ArrayList<>();
        mReady.forEach(
                (domain, ready) ->
                        domains.add(
                                new DomainServers(
                                        domain,
                                        mViews.getOrDefault(domain, DomainView.FOLLOWED),
                                        ready,
                                        mCold.getOrDefault(domain, 0),
                                        mLeaving.getOrDefault(domain, Set.of()))));
        PoolObservation observation =
                new PoolObservation(
                        mCalls.applyAsInt(seconds()),
                        0,
                        SLOTS,
                        0,
                        mModelEngines,
                        mConfiguredEngines,
                        LOAD_TIME,
                        domains);
        for (ServerCountChange change : mPlanner.plan(mLimits, observation, mNanos)) {
            mSteps.add(new Step(seconds(), change));
            follow(change);
        }
    }

    private void follow(ServerCountChange change) {
        for (int server = change.before(); server < change.after(); server++) {
            mBoots.add(new Boot(change.failureDomain(), mNanos + BOOT_TIME.toNanos()));
        }
        for (int server = change.after(); server < change.before(); server++) {
            mReady.merge(change.failureDomain(), -1, Integer::sum);
            if (mGiveBackShowsAsLeaving) {
                mLeaving.get(change.failureDomain()).add("given-back-" + mNanos);
            }
        }
    }

    double seconds() {
        return mNanos / 1e9;
    }

    List<Step> steps() {
        return List.copyOf(mSteps);
    }

    /** Returns the steps after the given time. */
    List<Step> stepsAfter(double seconds) {
        return mSteps.stream().filter(step -> step.atSeconds() > seconds).toList();
    }

    ServerCountPlanner planner() {
        return mPlanner;
    }

    int ordered(String domain) {
        return mPlanner.servers(domain);
    }

    int totalOrdered() {
        return mReady.keySet().stream().mapToInt(this::ordered).sum();
    }

    int totalReady() {
        return mReady.values().stream().mapToInt(Integer::intValue).sum();
    }

    private record Boot(String domain, long readyAtNanos) {}
}
