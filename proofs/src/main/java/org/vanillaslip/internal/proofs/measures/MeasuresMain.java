package org.vanillaslip.internal.proofs.measures;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Runs the measures in virtual time and prints their tables. Arguments: the seed, the name of the
 * only measure to run, and the first and the last hour of the cold start measure.
 */
public final class MeasuresMain {

    private static final long SEED = 20260101;
    private static final Path CHARTS = Path.of("docs", "measures");

    private MeasuresMain() {}

    /** Runs all measures, or one. */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : SEED;
        String only = arguments.length > 1 ? arguments[1] : "";
        Duration start = Duration.ZERO;
        Duration end = TraceGenerator.DAY;
        if (arguments.length > 3) {
            start = Duration.ofHours(Long.parseLong(arguments[2]));
            end = Duration.ofHours(Long.parseLong(arguments[3]));
        }
        System.out.println("seed " + seed);
        if (!only.equals("failure-domain")) {
            System.out.println("\n# Cold starts against idle accelerator hours");
            new ColdStartMeasure(seed, start, end, System.out, CHARTS).run();
        }
        if (!only.equals("cold-start")) {
            System.out.println("\n# A failure domain leaves and returns");
            new FailureDomainMeasure(seed, System.out, CHARTS).run();
        }
    }
}
