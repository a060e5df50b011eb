package org.vanillaslip.internal.proofs.measures;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Service before, while and after a failure domain is away. */
final class FailureDomainMeasure {

    private static final Duration STEP = Duration.ofMinutes(5);
    private static final Duration FIRST_MINUTES = Duration.ofMinutes(5);

    private record Period(String name, Duration from, Duration to) {}

    private static final List<Period> PERIODS =
            List.of(
                    new Period("hour before", Duration.ofHours(10), DomainChange.LEAVES),
                    new Period(
                            "first 5 minutes away",
                            DomainChange.LEAVES,
                            DomainChange.LEAVES.plus(FIRST_MINUTES)),
                    new Period(
                            "rest of the hour away",
                            DomainChange.LEAVES.plus(FIRST_MINUTES),
                            DomainChange.RETURNS),
                    new Period(
                            "first 5 minutes back",
                            DomainChange.RETURNS,
                            DomainChange.RETURNS.plus(FIRST_MINUTES)),
                    new Period(
                            "rest of the hour back",
                            DomainChange.RETURNS.plus(FIRST_MINUTES),
                            Duration.ofHours(13)));

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
            // The hour before the first period fills the servers.
            List<Arrival> trace =
                    new TraceGenerator(size, mSeed)
                            .generate().stream()
                                    .filter(a -> a.nanos() >= Duration.ofHours(9).toNanos())
                                    .toList();
            XYSeriesCollection series = new XYSeriesCollection();
            List<SimulatedRequest> undisturbed = requests(size, trace, deployment -> {});
            print(size, "nothing leaves", undisturbed);
            series.addSeries(series("nothing leaves", undisturbed));
            for (DomainChange change : DomainChange.values()) {
                List<SimulatedRequest> requests = requests(size, trace, change::schedule);
                String name = change == DomainChange.DRAIN ? "drain, 2 minutes' notice" : "loss";
                print(size, name, requests);
                series.addSeries(series(name, requests));
            }
            Charts.shares(
                    size.name() + ": a failure domain is away from minute 0 to 60",
                    series,
                    mCharts,
                    "failure-domain-" + size.name());
        }
    }

    private List<SimulatedRequest> requests(
            DeploymentSize size, List<Arrival> trace, Consumer<SimulatedDeployment> incident) {
        KeepAliveVariant variant = KeepAliveVariant.chosen(size.idleWeight());
        SimulatedDeployment deployment = new SimulatedDeployment(size, variant, mSeed);
        incident.accept(deployment);
        // Long enough for the last requests of the last period to meet their deadlines.
        deployment.run(trace, Duration.ofMinutes(13 * 60 + 15).toNanos());
        return deployment.requests();
    }

    private void print(DeploymentSize size, String change, List<SimulatedRequest> requests) {
        mOutput.println("\n" + size.name() + ", " + change + ":\n");
        StringBuilder header = new StringBuilder("| period | requests | all |");
        StringBuilder rule = new StringBuilder("|---|---|---|");
        for (String workspace : size.workspaces()) {
            header.append(" ").append(workspace).append(" |");
            rule.append("---|");
        }
        mOutput.println(header.append(" refused | at the deadline | lost |"));
        mOutput.println(rule.append("---|---|---|"));
        for (Period period : PERIODS) {
            mOutput.println(row(size, period, requests));
        }
    }

    private static String row(DeploymentSize size, Period period, List<SimulatedRequest> requests) {
        List<SimulatedRequest> inPeriod = in(requests, period.from(), period.to());
        List<String> cells = new ArrayList<>();
        cells.add(period.name());
        cells.add(Integer.toString(inPeriod.size()));
        cells.add(share(inPeriod, request -> true));
        for (String workspace : size.workspaces()) {
            cells.add(share(inPeriod, r -> r.mArrival.workspace().equals(workspace)));
        }
        cells.add(count(inPeriod, SimulatedRequest.End.REFUSED));
        cells.add(count(inPeriod, SimulatedRequest.End.EXPIRED));
        cells.add(count(inPeriod, SimulatedRequest.End.LOST));
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String share(
            List<SimulatedRequest> requests, Predicate<SimulatedRequest> selected) {
        long all = requests.stream().filter(selected).count();
        long answered = requests.stream().filter(selected).filter(r -> answered(r)).count();
        return all == 0 ? "-" : String.format("%.1f%% of %d", 100.0 * answered / all, all);
    }

    private static String count(List<SimulatedRequest> requests, SimulatedRequest.End end) {
        return Long.toString(requests.stream().filter(request -> request.mEnd == end).count());
    }

    // A response starts before its deadline or not at all, so that every answer is in time.
    private static boolean answered(SimulatedRequest request) {
        return request.mEnd == SimulatedRequest.End.ANSWERED;
    }

    private static List<SimulatedRequest> in(
            List<SimulatedRequest> requests, Duration from, Duration to) {
        return requests.stream()
                .filter(request -> request.mArrival.nanos() >= from.toNanos())
                .filter(request -> request.mArrival.nanos() < to.toNanos())
                .toList();
    }

    private static XYSeries series(String name, List<SimulatedRequest> requests) {
        XYSeries series = new XYSeries(name);
        Duration end = Duration.ofHours(13);
        Duration from = Duration.ofHours(10);
        while (from.compareTo(end) < 0) {
            List<SimulatedRequest> part = in(requests, from, from.plus(STEP));
            long answered = part.stream().filter(r -> answered(r)).count();
            if (!part.isEmpty()) {
                series.add(
                        from.minus(DomainChange.LEAVES).toMinutes(),
                        100.0 * answered / part.size());
            }
            from = from.plus(STEP);
        }
        return series;
    }
}
