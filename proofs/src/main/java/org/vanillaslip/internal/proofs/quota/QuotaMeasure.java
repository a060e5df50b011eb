package org.vanillaslip.internal.proofs.quota;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/** Compares quota policies on seeded requests in virtual time and prints Markdown tables. */
public final class QuotaMeasure {

    private static final long DEFAULT_SEED = 1;
    private static final Duration RUN_TIME = Duration.ofSeconds(200);
    private static final Duration GROWTH_RUN_TIME = Duration.ofSeconds(10);

    private static final String ROW_FORMAT =
            "| %s | %s | %s | %d | %d | %d | %.0f | %s"
                    + " | %.3f | %.0f | %.0f | %.0f | %.3f | %.1f |%n";

    private QuotaMeasure() {}

    /** Prints the tables; the optional argument is the seed. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : DEFAULT_SEED;
        PrintStream out = System.out;
        out.printf("Seed %d.%n%n", seed);
        printComparison(seed, out);
        out.println();
        printMessageGrowth(seed, out);
    }

    private static void printComparison(long seed, PrintStream out) {
        out.println(
                "| deployment | limit | queue | requests"
                        + " | refused inside the rate, workspaces inside their rate"
                        + " | the same, workspace at five times its rate"
                        + " | most tokens over the bound | worst-served workspace"
                        + " | its share of entitlement | its p99 wait, ms"
                        + " | longest p99 wait, steady workspaces, ms"
                        + " | longest p99 wait, bursts, ms"
                        + " | messages per request | messages per second |");
        out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (DeploymentScenario scenario :
                List.of(DeploymentScenario.mostrador(), DeploymentScenario.hanbit())) {
            for (QuotaPolicy policy : QuotaPolicy.values()) {
                for (boolean fair : new boolean[] {true, false}) {
                    PolicyRun run = new PolicyRun(scenario, policy, fair, seed, RUN_TIME).run();
                    out.printf(
                            Locale.ROOT,
                            ROW_FORMAT,
                            scenario.name(),
                            policy.title(),
                            fair ? "fair" : "first come",
                            run.requests(),
                            run.wronglyRefused(load -> !load.isOverRate()),
                            run.wronglyRefused(WorkspaceLoad::isOverRate),
                            run.maxTokensOverBound(),
                            run.worstServedWorkspace(),
                            run.worstServed().shareOfEntitlement(),
                            run.worstServed().waitMillis(0.99),
                            run.longestWaitMillis(WorkspaceLoad::isSteady),
                            run.longestWaitMillis(WorkspaceLoad::isBursting),
                            run.messagesPerRequest(),
                            run.messagesPerSecond());
                }
            }
        }
    }

    private static void printMessageGrowth(long seed, PrintStream out) {
        int[] hostCounts = {4, 8, 16, 32, 64, 86};
        out.println(
                "| workspaces | 4 hosts | 8 | 16 | 32 | 64 | 86 | slope, messages/s per host |");
        out.println("|---|---|---|---|---|---|---|---|");
        for (int workspaces : new int[] {5, 20, 80}) {
            StringBuilder row = new StringBuilder("| " + workspaces + " |");
            double[] messages = new double[hostCounts.length];
            for (int i = 0; i < hostCounts.length; i++) {
                DeploymentScenario scenario = DeploymentScenario.even(hostCounts[i], workspaces);
                PolicyRun run =
                        new PolicyRun(
                                scenario, QuotaPolicy.OWNED_SHARES, true, seed, GROWTH_RUN_TIME);
                messages[i] = run.run().messagesPerSecond();
                row.append(String.format(Locale.ROOT, " %.1f |", messages[i]));
            }
            out.printf(Locale.ROOT, "%s %.2f |%n", row, slope(hostCounts, messages));
        }
    }

    /** Returns the slope of the least-squares line. */
    private static double slope(int[] x, double[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += (double) x[i] / x.length;
            meanY += y[i] / x.length;
        }
        double product = 0;
        double square = 0;
        for (int i = 0; i < x.length; i++) {
            product += (x[i] - meanX) * (y[i] - meanY);
            square += (x[i] - meanX) * (x[i] - meanX);
        }
        return product / square;
    }
}
