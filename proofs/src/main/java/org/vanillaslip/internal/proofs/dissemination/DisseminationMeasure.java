package org.vanillaslip.internal.proofs.dissemination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints a table that compares dissemination strategies by the number of hosts. */
public final class DisseminationMeasure {

    private static final int[] HOST_COUNTS = {6, 30, 100, 300, 600};
    private static final int FAILURE_DOMAINS = 5;
    private static final double LOSS_PROBABILITY = 0.01;
    private static final long SEED = 20260101;

    /**
     * The hosts whose failure has the largest effect: the star center and both relays of a domain.
     */
    private static final List<Integer> STOPPED_HOSTS = List.of(0, FAILURE_DOMAINS);

    private DisseminationMeasure() {}

    /** Prints the table. */
    public static void main(String[] arguments) {
        System.out.println(
                "| hosts | way | messages a host and interval, mean | most | items a host and"
                        + " interval | intervals until all know | with 1% loss | first two hosts"
                        + " killed |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        Map<String, DisseminationStrategy> strategies = new LinkedHashMap<>();
        strategies.put("mesh", DisseminationStrategy.mesh());
        strategies.put("star over the holder", DisseminationStrategy.star());
        strategies.put("epidemic, 3 a round", DisseminationStrategy.epidemic(3));
        strategies.put("relays", DisseminationStrategy.relays());
        for (int hosts : HOST_COUNTS) {
            strategies.forEach((name, strategy) -> System.out.println(row(hosts, name, strategy)));
        }
    }

    private static String row(int hosts, String name, DisseminationStrategy strategy) {
        Fleet fleet = new Fleet(hosts, Math.min(FAILURE_DOMAINS, hosts / 2));
        // In an epidemic, no host can build a sum that counts each origin exactly once.
        boolean aggregated = !name.startsWith("epidemic");
        DisseminationRun undisturbed = run(fleet, strategy, 0, List.of(), aggregated);
        DisseminationRun lossy = run(fleet, strategy, LOSS_PROBABILITY, List.of(), aggregated);
        DisseminationRun stoppedHosts = run(fleet, strategy, 0, STOPPED_HOSTS, aggregated);
        return String.format(
                Locale.ROOT,
                "| %d | %s | %.1f | %.0f | %.0f | %d | %d | %s |",
                hosts,
                name,
                undisturbed.meanMessages(),
                undisturbed.maxMessages(),
                undisturbed.meanItems(),
                undisturbed.rounds(),
                lossy.rounds(),
                stoppedHosts.isComplete()
                        ? Integer.toString(stoppedHosts.rounds())
                        : "not reached");
    }

    private static DisseminationRun run(
            Fleet fleet,
            DisseminationStrategy strategy,
            double loss,
            List<Integer> stoppedHosts,
            boolean aggregated) {
        return new DisseminationRun(fleet, strategy, loss, stoppedHosts, aggregated, SEED).run();
    }
}
