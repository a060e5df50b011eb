package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A request and when it came, counted from the moment at which the failure domain leaves.
 *
 * @param minutes negative before the domain leaves
 */
record DomainSample(SimulatedRequest request, double minutes) {

    private static final long MINUTE_NANOS = Duration.ofMinutes(1).toNanos();
    private static final long BUSY_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long EARLIEST = Duration.ofHours(10).toNanos();
    private static final long LATEST = Duration.ofHours(12).toNanos();

    /** Runs one trace with a change at its busiest moment. */
    static List<DomainSample> measure(DeploymentSize size, DomainChange change, long seed) {
        List<Arrival> day = new TraceGenerator(size, seed).generate();
        long leaves = busiest(day);
        // The half hour before the first period fills the servers, and after the last period all
        // deadlines pass.
        long start = leaves - 90 * MINUTE_NANOS;
        long end = leaves + 120 * MINUTE_NANOS;
        List<Arrival> trace =
                day.stream().filter(a -> a.nanos() >= start && a.nanos() < end).toList();
        KeepAliveVariant variant = KeepAliveVariant.chosen(size.idleWeight());
        SimulatedDeployment deployment = new SimulatedDeployment(size, variant, start, seed);
        change.schedule(deployment, leaves);
        deployment.run(trace, end + 15 * MINUTE_NANOS);
        List<DomainSample> samples = new ArrayList<>();
        for (SimulatedRequest request : deployment.requests()) {
            double since = request.mArrival.nanos() - leaves;
            samples.add(new DomainSample(request, since / MINUTE_NANOS));
        }
        return samples;
    }

    // The end of the 30 s with the most requests between 10:00 and 12:00: at a quiet moment a loss
    // without notice breaks nothing and cannot be told from a drain.
    private static long busiest(List<Arrival> day) {
        long best = EARLIEST;
        int most = -1;
        int first = 0;
        for (int last = 0; last < day.size(); last++) {
            long now = day.get(last).nanos();
            while (day.get(first).nanos() < now - BUSY_NANOS) {
                first++;
            }
            if (now >= EARLIEST && now < LATEST && last - first > most) {
                most = last - first;
                best = now;
            }
        }
        return best;
    }

    /** Returns whether the response started before the deadline and was complete. */
    boolean answered() {
        return request.mEnd == SimulatedRequest.End.ANSWERED;
    }
}
