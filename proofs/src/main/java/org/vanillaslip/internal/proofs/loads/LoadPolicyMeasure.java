package org.vanillaslip.internal.proofs.loads;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.vanillaslip.internal.fleet.LoadDemand;
import org.vanillaslip.internal.fleet.LoadPlanner;

/** Compares the load planner with baseline policies on the same seeded calls. */
public final class LoadPolicyMeasure {

    /** Uses the call rates of hanbit-tours, the smaller deployment. */
    static final List<LoadPattern> PATTERNS =
            List.of(
                    new LoadPattern("steady mix", 18, 1.5, 1, 0),
                    new LoadPattern("busy models moving on", 18, 1.5, 1, 12),
                    new LoadPattern("rare models at once", 18, 1.0, 4, 0),
                    new LoadPattern("burst of the patient kind", 18, 1.5, 2.4, 20));

    private static final long SEED = 7;

    private LoadPolicyMeasure() {}

    /** Returns the compared policies by name. */
    static Map<String, LoadPolicy> policies() {
        Map<String, LoadPolicy> policies = new LinkedHashMap<>();
        policies.put(
                "first come, least recently used", new LeastRecentlyUsedPolicy((one, other) -> 0));
        policies.put(
                "most waiting, least recently used",
                new LeastRecentlyUsedPolicy(
                        Comparator.comparingInt(LoadDemand::waiting).reversed()));
        policies.put("planner", planner());
        return policies;
    }

    /** Returns the policy that the daemon uses. */
    static LoadPolicy planner() {
        return (engines, demands, history, lastUse, availableStoreLoads, now) ->
                LoadPlanner.plan(
                                LoadSimulation.profile(),
                                history,
                                engines,
                                demands,
                                LoadSimulation.MAX_STORE_LOADS,
                                availableStoreLoads,
                                now)
                        .orders();
    }

    /** Prints the table; the optional argument is the seed. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : SEED;
        print(System.out, seed);
    }

    private static void print(PrintStream output, long seed) {
        output.println("seed " + seed);
        output.println("| pattern | policy | urgent on time | patient on time | left | loads |");
        output.println("|---|---|---|---|---|---|");
        for (LoadPattern pattern : PATTERNS) {
            policies()
                    .forEach(
                            (name, policy) -> {
                                LoadResult result = new LoadSimulation(policy, pattern, seed).run();
                                output.println(row(pattern.name(), name, result));
                            });
        }
    }

    private static String row(String pattern, String policy, LoadResult result) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.3f | %.3f | %d | %d disk, %d store |",
                pattern,
                policy,
                result.urgentOnTimeFraction(),
                result.patientOnTimeFraction(),
                result.abandonedCalls(),
                result.diskLoads(),
                result.storeLoads());
    }
}
