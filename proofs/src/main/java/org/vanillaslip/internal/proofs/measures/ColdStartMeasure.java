package org.vanillaslip.internal.proofs.measures;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Cold starts against idle accelerator hours, for the chosen policy and three baselines. */
final class ColdStartMeasure {

    private static final List<Double> WEIGHTS = List.of(0.1, 0.3, 0.5, 0.7, 0.9);

    private final long mSeed;
    private final Duration mStart;
    private final Duration mEnd;
    private final PrintStream mOutput;
    private final Path mCharts;

    /** Creates a measure of the whole day or of a part of it. */
    ColdStartMeasure(long seed, Duration start, Duration end, PrintStream output, Path charts) {
        mSeed = seed;
        mStart = start;
        mEnd = end;
        mOutput = output;
        mCharts = charts;
    }

    void run() {
        for (DeploymentSize size : DeploymentSize.ALL) {
            List<Arrival> trace = new TraceGenerator(size, mSeed).generate();
            List<KeepAliveVariant> variants = new ArrayList<>();
            WEIGHTS.forEach(weight -> variants.add(KeepAliveVariant.chosen(weight)));
            variants.addAll(KeepAliveVariant.baselines());
            List<ColdStartResult> results =
                    variants.parallelStream()
                            .map(v -> measure(size, v, trace))
                            .collect(Collectors.toList());
            print(size, results);
        }
    }

    private ColdStartResult measure(
            DeploymentSize size, KeepAliveVariant variant, List<Arrival> trace) {
        return ColdStartResult.measure(size, variant, trace, mStart, mEnd, mSeed);
    }

    private void print(DeploymentSize size, List<ColdStartResult> results) {
        String own = KeepAliveVariant.chosen(size.idleWeight()).name();
        List<ColdStartResult> learned = results.subList(0, WEIGHTS.size());
        List<ColdStartResult> baselines = results.subList(WEIGHTS.size(), results.size());
        mOutput.println("\n" + size.name() + ", its own weight against the baselines:\n");
        table(
                Stream.concat(
                                learned.stream().filter(result -> result.rule().equals(own)),
                                baselines.stream())
                        .collect(Collectors.toList()));
        mOutput.println("\n" + size.name() + ", by weight:\n");
        table(learned);
        Charts.coldStarts(size.name(), learned, baselines, mCharts);
    }

    private void table(List<ColdStartResult> results) {
        mOutput.println(ColdStartResult.HEADER);
        results.forEach(result -> mOutput.println(result.row()));
    }
}
