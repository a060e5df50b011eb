package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** One request that reaches a host. */
record Arrival(long at, Load load, int host, long tokens) {

    private static final double SECOND = 1e9;

    /** Quiet time before each burst; buckets fill in a sixth of it. */
    private static final double BURST_EVERY = 60 * SECOND;

    /** Returns the requests of all workspaces in order of time. */
    static List<Arrival> draw(Setting setting, long seed, long startNanos, long endNanos) {
        List<Arrival> arrivals = new ArrayList<>();
        int number = 0;
        for (Load load : setting.loads()) {
            SplittableRandom random = new SplittableRandom(seed * 1000 + number++);
            if (load.factor() > 0) {
                steady(arrivals, setting, load, random, startNanos, endNanos);
            } else {
                bursts(arrivals, setting, load, random, startNanos, endNanos);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::at));
        return arrivals;
    }

    private static void steady(
            List<Arrival> arrivals,
            Setting setting,
            Load load,
            SplittableRandom random,
            long start,
            long end) {
        double mean = load.tokens() / (load.rate() * load.factor()) * SECOND;
        double at = start;
        while ((at -= Math.log(1 - random.nextDouble()) * mean) < end) {
            int host = random.nextInt(setting.hosts());
            arrivals.add(new Arrival((long) at, load, host, tokens(load, random)));
        }
    }

    /** Bursts of 90% of the bucket within a second, at one, three and all hosts in turn. */
    private static void bursts(
            List<Arrival> arrivals,
            Setting setting,
            Load load,
            SplittableRandom random,
            long start,
            long end) {
        int[] spread = {1, 3, setting.hosts()};
        int turn = 0;
        double first = start + random.nextDouble() * BURST_EVERY / 4;
        for (double at = first; at < end - SECOND; at += BURST_EVERY) {
            int hosts = Math.min(setting.hosts(), spread[turn++ % spread.length]);
            int from = random.nextInt(setting.hosts());
            long left = load.burst() * 9 / 10;
            while (left > 0) {
                long tokens = Math.min(left, tokens(load, random));
                left -= tokens;
                int host = (from + random.nextInt(hosts)) % setting.hosts();
                long when = (long) (at + random.nextDouble() * SECOND);
                arrivals.add(new Arrival(when, load, host, tokens));
            }
        }
    }

    private static long tokens(Load load, SplittableRandom random) {
        return load.tokens() / 2 + random.nextInt(load.tokens());
    }
}
