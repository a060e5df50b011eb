package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What one run over a day showed.
 *
 * @param cold requests that met a model without a loaded replica in their failure domain
 * @param coldMedianSeconds wait of the cold requests that were served
 * @param idleHours accelerator hours for which loaded models ran nothing
 * @param unfitLoads loads that did not fit into memory; any is a fault of the placement
 */
record ColdStartResult(
        String rule,
        int requests,
        int cold,
        int answered,
        int refused,
        int expired,
        int open,
        double coldMedianSeconds,
        double coldTailSeconds,
        double idleHours,
        double residentHours,
        int loads,
        int unfitLoads,
        int mostRemoteLoads) {

    static final String HEADER =
            "| rule | requests | met a cold model | cold-start p50 s | cold-start p99 s"
                    + " | idle accelerator hours | resident accelerator hours | loads"
                    + " | refused | refused at the deadline | most parallel remote loads |\n"
                    + "|---|---|---|---|---|---|---|---|---|---|---|";

    /** Runs one rule over the trace between two virtual times. */
    static ColdStartResult measure(
            DeploymentSize size,
            KeepAliveVariant variant,
            List<Arrival> trace,
            Duration start,
            Duration end,
            long seed) {
        SimulatedDeployment deployment =
                new SimulatedDeployment(size, variant, start.toNanos(), seed);
        deployment.run(
                trace.stream().filter(a -> a.nanos() >= start.toNanos()).toList(), end.toNanos());
        Histogram waits = new Histogram(3);
        deployment.requests().stream()
                .filter(request -> request.mCold && request.mStartedNanos >= 0)
                .forEach(request -> waits.recordValue((long) (request.waitSeconds() * 1000)));
        List<SimulatedServer> servers = deployment.servers();
        return new ColdStartResult(
                variant.name(),
                deployment.requests().size(),
                (int) deployment.requests().stream().filter(request -> request.mCold).count(),
                count(deployment, SimulatedRequest.End.ANSWERED),
                count(deployment, SimulatedRequest.End.REFUSED),
                count(deployment, SimulatedRequest.End.EXPIRED),
                count(deployment, SimulatedRequest.End.OPEN),
                waits.getValueAtPercentile(50) / 1000.0,
                waits.getValueAtPercentile(99) / 1000.0,
                servers.stream().mapToDouble(SimulatedServer::idleSeconds).sum() / 3600,
                servers.stream().mapToDouble(SimulatedServer::residentSeconds).sum() / 3600,
                servers.stream().mapToInt(SimulatedServer::loads).sum(),
                servers.stream().mapToInt(SimulatedServer::refused).sum(),
                deployment.mostRemoteLoads());
    }

    String row() {
        return String.format(
                "| %s | %d | %.2f%% | %.2f | %.2f | %.1f | %.1f | %d | %d (%.2f%%) | %d | %d |",
                rule,
                requests,
                100.0 * cold / requests,
                coldMedianSeconds,
                coldTailSeconds,
                idleHours,
                residentHours,
                loads,
                refused,
                100.0 * refused / requests,
                expired,
                mostRemoteLoads);
    }

    private static int count(SimulatedDeployment deployment, SimulatedRequest.End end) {
        return (int) deployment.requests().stream().filter(request -> request.mEnd == end).count();
    }
}
