package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** A request and the time at which it reaches a host. */
record Arrival(long arrivalNanos, WorkspaceLoad load, int host, long tokens) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Interval between bursts; buckets fill within a sixth of it. */
    private static final double BURST_INTERVAL_NANOS = 60 * NANOS_PER_SECOND;

    /** Returns the requests of all workspaces, ordered by arrival time. */
    static List<Arrival> generate(
            DeploymentScenario scenario, long seed, long startNanos, long endNanos) {
        List<Arrival> arrivals = new ArrayList<>();
        int number = 0;
        for (WorkspaceLoad load : scenario.loads()) {
            SplittableRandom random = new SplittableRandom(seed * 1000 + number++);
            if (load.demandFactor() > 0) {
                addSteadyRequests(arrivals, scenario, load, random, startNanos, endNanos);
            } else {
                addBursts(arrivals, scenario, load, random, startNanos, endNanos);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::arrivalNanos));
        return arrivals;
    }

    private static void addSteadyRequests(
            List<Arrival> arrivals,
            DeploymentScenario scenario,
            WorkspaceLoad load,
            SplittableRandom random,
            long start,
            long end) {
        double meanIntervalNanos =
                load.meanRequestTokens()
                        / (load.tokensPerSecond() * load.demandFactor())
                        * NANOS_PER_SECOND;
        double at = start;
        while ((at -= Math.log(1 - random.nextDouble()) * meanIntervalNanos) < end) {
            int host = random.nextInt(scenario.hosts());
            arrivals.add(new Arrival((long) at, load, host, tokens(load, random)));
        }
    }

    /** Adds bursts of 90% of the bucket within a second, at one, three and all hosts in turn. */
    private static void addBursts(
            List<Arrival> arrivals,
            DeploymentScenario scenario,
            WorkspaceLoad load,
            SplittableRandom random,
            long start,
            long end) {
        int[] hostCounts = {1, 3, scenario.hosts()};
        int burst = 0;
        double first = start + random.nextDouble() * BURST_INTERVAL_NANOS / 4;
        for (double at = first; at < end - NANOS_PER_SECOND; at += BURST_INTERVAL_NANOS) {
            int hosts = Math.min(scenario.hosts(), hostCounts[burst++ % hostCounts.length]);
            int firstHost = random.nextInt(scenario.hosts());
            long remainingTokens = load.burstTokens() * 9 / 10;
            while (remainingTokens > 0) {
                long tokens = Math.min(remainingTokens, tokens(load, random));
                remainingTokens -= tokens;
                int host = (firstHost + random.nextInt(hosts)) % scenario.hosts();
                long timeNanos = (long) (at + random.nextDouble() * NANOS_PER_SECOND);
                arrivals.add(new Arrival(timeNanos, load, host, tokens));
            }
        }
    }

    private static long tokens(WorkspaceLoad load, SplittableRandom random) {
        return load.meanRequestTokens() / 2 + random.nextInt(load.meanRequestTokens());
    }
}
