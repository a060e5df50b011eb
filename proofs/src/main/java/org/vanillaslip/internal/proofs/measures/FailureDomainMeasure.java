package org.vanillaslip.internal.proofs.measures;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Service before, while and after a failure domain is away. */
final class FailureDomainMeasure {

    private static final int TRACES = 3;
    private static final int STEP_MINUTES = 5;

    private record Period(String name, double from, double to) {}

    private static final List<Period> PERIODS =
            List.of(
                    new Period("hour before", -60, 0),
                    new Period("first minute away", 0, 1),
                    new Period("minutes 1 to 5 away", 1, 5),
                    new Period("rest of the hour away", 5, 60),
                    new Period("first 5 minutes back", 60, 65),
                    new Period("rest of the hour back", 65, 120));

    private record Result(DomainChange change, List<DomainSample> samples) {}

    private final long mSeed;
    private final PrintStream mOutput;
    private final Path mCharts;

    FailureDomainMeasure(long seed, PrintStream output, Path charts) {
        mSeed = seed;
        mOutput = output;
        mCharts = charts;
    }

    void run() {
        for (DeploymentSize size : DeploymentSize.ALL) {
            List<Result> results =
                    Arrays.stream(DomainChange.values())
                            .parallel()
                            .map(change -> new Result(change, samples(size, change)))
                            .collect(Collectors.toList());
            XYSeriesCollection series = new XYSeriesCollection();
            for (Result result : results) {
                print(size, result);
                series.addSeries(series(result));
            }
            Charts.shares(
                    size.name() + ": a failure domain is away from minute 0 to 60",
                    series,
                    mCharts,
                    "failure-domain-" + size.name());
        }
    }

    /** Returns the samples of several traces, whose seeds follow one another. */
    private List<DomainSample> samples(DeploymentSize size, DomainChange change) {
        return LongStream.range(mSeed, mSeed + TRACES)
                .parallel()
                .mapToObj(seed -> DomainSample.measure(size, change, seed))
                .flatMap(List::stream)
                .collect(Collectors.toList());
    }

    private void print(DeploymentSize size, Result result) {
        mOutput.println("\n" + size.name() + ", " + result.change().text() + ":\n");
        StringBuilder header = new StringBuilder("| period | requests | all |");
        StringBuilder rule = new StringBuilder("|---|---|---|");
        for (String workspace : size.workspaces()) {
            header.append(" ").append(workspace).append(" |");
            rule.append("---|");
        }
        mOutput.println(header.append(" refused | at the deadline | lost |"));
        mOutput.println(rule.append("---|---|---|"));
        for (Period period : PERIODS) {
            mOutput.println(row(size, in(result.samples(), period.from(), period.to()), period));
        }
    }

    private static String row(DeploymentSize size, List<DomainSample> samples, Period period) {
        List<String> cells = new ArrayList<>();
        cells.add(period.name());
        cells.add(Integer.toString(samples.size()));
        cells.add(share(samples, sample -> true));
        for (String workspace : size.workspaces()) {
            cells.add(share(samples, s -> s.request().mArrival.workspace().equals(workspace)));
        }
        cells.add(count(samples, SimulatedRequest.End.REFUSED));
        cells.add(count(samples, SimulatedRequest.End.EXPIRED));
        cells.add(count(samples, SimulatedRequest.End.LOST));
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String share(List<DomainSample> samples, Predicate<DomainSample> selected) {
        long all = samples.stream().filter(selected).count();
        long answered = samples.stream().filter(selected).filter(DomainSample::answered).count();
        return all == 0 ? "-" : String.format("%.1f%% of %d", 100.0 * answered / all, all);
    }

    private static String count(List<DomainSample> samples, SimulatedRequest.End end) {
        return Long.toString(samples.stream().filter(s -> s.request().mEnd == end).count());
    }

    private static List<DomainSample> in(List<DomainSample> samples, double from, double to) {
        return samples.stream()
                .filter(sample -> sample.minutes() >= from && sample.minutes() < to)
                .toList();
    }

    private static XYSeries series(Result result) {
        XYSeries series = new XYSeries(result.change().text());
        for (int from = -60; from < 120; from += STEP_MINUTES) {
            List<DomainSample> part = in(result.samples(), from, from + STEP_MINUTES);
            long answered = part.stream().filter(DomainSample::answered).count();
            if (!part.isEmpty()) {
                series.add(from, 100.0 * answered / part.size());
            }
        }
        return series;
    }
}
