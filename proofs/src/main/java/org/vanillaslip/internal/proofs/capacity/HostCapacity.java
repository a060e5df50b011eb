package org.vanillaslip.internal.proofs.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Measures processor time and platform calls of idle hosts in separate processes. */
final class HostCapacity {

    private static final int[] HOSTS_PER_FAILURE_DOMAIN = {1, 2, 4};

    /** Time for leases and shares to stabilize before the measurement. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(20);

    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(60);

    private final ObjectMapper mMapper = new ObjectMapper();
    private final Path mDeploymentFile;
    private final PrintStream mOutput;

    HostCapacity(Path deploymentFile, PrintStream output) {
        mDeploymentFile = deploymentFile;
        mOutput = output;
    }

    void run() throws IOException {
        mOutput.println(
                "| hosts | platform calls/s, all hosts | per host | % of a core per host |");
        mOutput.println("|---|---|---|---|");
        for (int hosts : HOSTS_PER_FAILURE_DOMAIN) {
            measure(hosts);
        }
    }

    private void measure(int hostsPerFailureDomain) throws IOException {
        Path directory = Files.createTempDirectory("vanillaslip-capacity");
        try (Deployment deployment =
                Deployment.start(mDeploymentFile, directory, hostsPerFailureDomain)) {
            pause(SETTLING_TIME);
            long callsBefore = platformCalls(deployment);
            Duration processorBefore = processorTime(deployment);
            pause(MEASUREMENT_TIME);
            double calls = platformCalls(deployment) - callsBefore;
            Duration processor = processorTime(deployment).minus(processorBefore);
            int hosts = deployment.hosts().size();
            mOutput.printf(
                    "| %d | %.1f | %.2f | %.2f |%n",
                    hosts,
                    calls / MEASUREMENT_TIME.toSeconds(),
                    calls / MEASUREMENT_TIME.toSeconds() / hosts,
                    100.0 * processor.toNanos() / MEASUREMENT_TIME.toNanos() / hosts);
        }
    }

    private long platformCalls(Deployment deployment) throws IOException {
        JsonNode counts =
                mMapper.readTree(
                        deployment.caller().get(deployment.platformAddress(), "/counts").body());
        long sum = 0;
        for (JsonNode count : counts) {
            sum += count.asLong();
        }
        return sum;
    }

    private static Duration processorTime(Deployment deployment) {
        return deployment.hosts().stream()
                .map(HostProcess::process)
                .map(process -> process.processorTime())
                .reduce(Duration.ZERO, Duration::plus);
    }

    private static void pause(Duration time) {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(time.toMillis(), TimeUnit.MILLISECONDS))
                .join();
    }
}
