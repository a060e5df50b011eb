package org.vanillaslip.internal.proofs.dissemination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints a table of ways to spread what hosts tell each other, by the number of hosts. */
public final class DisseminationMeasure {

    private static final int[] HOSTS = {6, 30, 100, 300, 600};
    private static final int DOMAINS = 5;
    private static final double LOSS = 0.01;
    private static final long SEED = 20260101;

    /** Hosts whose loss hurts most: the center of a star, and both relays of one domain. */
    private static final List<Integer> KILLED = List.of(0, DOMAINS);

    private DisseminationMeasure() {}

    /** Prints the table. */
    public static void main(String[] arguments) {
        System.out.println(
                "| hosts | way | messages a host and interval, mean | most | items a host and"
                        + " interval | intervals until all know | with 1% loss | first two hosts"
                        + " killed |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        Map<String, Spreading> ways = new LinkedHashMap<>();
        ways.put("mesh", Spreading.mesh());
        ways.put("star over the holder", Spreading.star());
        ways.put("epidemic, 3 a round", Spreading.epidemic(3));
        ways.put("relays", Spreading.relays());
        for (int hosts : HOSTS) {
            ways.forEach((name, way) -> System.out.println(row(hosts, name, way)));
        }
    }

    private static String row(int hosts, String name, Spreading way) {
        Fleet fleet = new Fleet(hosts, Math.min(DOMAINS, hosts / 2));
        // An epidemic has no place at which a sum counts each origin once.
        boolean summed = !name.startsWith("epidemic");
        SpreadingRun calm = run(fleet, way, 0, List.of(), summed);
        SpreadingRun lossy = run(fleet, way, LOSS, List.of(), summed);
        SpreadingRun killed = run(fleet, way, 0, KILLED, summed);
        return String.format(
                Locale.ROOT,
                "| %d | %s | %.1f | %.0f | %.0f | %d | %d | %s |",
                hosts,
                name,
                calm.meanMessages(),
                calm.mostMessages(),
                calm.meanItems(),
                calm.rounds(),
                lossy.rounds(),
                killed.complete() ? Integer.toString(killed.rounds()) : "not reached");
    }

    private static SpreadingRun run(
            Fleet fleet, Spreading way, double loss, List<Integer> killed, boolean summed) {
        return new SpreadingRun(fleet, way, loss, killed, summed, SEED).play();
    }
}
