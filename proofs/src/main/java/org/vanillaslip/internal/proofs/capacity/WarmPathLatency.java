package org.vanillaslip.internal.proofs.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.HttpCaller;

/**
 * Compares the latency of a one-token completion through a host with the same call made directly to
 * the engine. The two kinds of call alternate.
 */
final class WarmPathLatency {

    private static final int CALLS = 400;
    private static final int WARM_UP_CALLS = 200;
    private static final int NANOS_PER_MICROSECOND = 1000;
    private static final String WORKSPACE = "maderas-sol";
    private static final String MODEL = "edge-quote";
    private static final String ROUTE = "/quotes/quick";
    private static final String BODY =
            "{\"model\": \"%s\", \"prompt\": \"x\", \"max_tokens\": 1, \"stream\": true}";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final Path mDeploymentFile;
    private final PrintStream mOutput;

    WarmPathLatency(Path deploymentFile, PrintStream output) {
        mDeploymentFile = deploymentFile;
        mOutput = output;
    }

    void run() throws IOException {
        Path directory = Files.createTempDirectory("vanillaslip-latency");
        try (Deployment deployment = Deployment.start(mDeploymentFile, directory)) {
            measure(deployment);
        }
    }

    private void measure(Deployment deployment) throws IOException {
        HttpCaller caller = deployment.caller();
        Map<String, String> headers = Map.of("Authorization", "Bearer " + key(deployment));
        String host = deployment.host("host-a1").gatewayAddress();
        String engine = deployment.backendAddress("engine-a");
        String body = BODY.formatted(MODEL);
        Deployment.await(
                "a warm model",
                () -> caller.postRetryingQuota(host, ROUTE, headers, body).isCompleteStream());
        Histogram direct = new Histogram(3);
        Histogram throughHost = new Histogram(3);
        for (int i = 0; i < WARM_UP_CALLS + CALLS; i++) {
            Map<String, String> id = Map.of("X-Request-Id", "latency-" + i);
            record(direct, i, () -> caller.post(engine, "/v1/completions", id, body));
            record(throughHost, i, () -> caller.postRetryingQuota(host, ROUTE, headers, body));
        }
        print(direct, throughHost);
    }

    private static void record(Histogram times, int call, Supplier<CallerResponse> answer) {
        long start = Ticker.systemTicker().nanoTime();
        CallerResponse response = answer.get();
        long micros = (Ticker.systemTicker().nanoTime() - start) / NANOS_PER_MICROSECOND;
        if (response.status() != 200) {
            throw new IllegalStateException(
                    "completion failed with status " + response.status() + response.body());
        }
        if (call >= WARM_UP_CALLS) {
            times.recordValue(micros);
        }
    }

    private void print(Histogram direct, Histogram throughHost) {
        mOutput.println(
                "| percentile | engine directly, us | through a host, us | added, us | ratio |");
        mOutput.println("|---|---|---|---|---|");
        for (double percentile : new double[] {50, 99}) {
            long directMicros = direct.getValueAtPercentile(percentile);
            long throughHostMicros = throughHost.getValueAtPercentile(percentile);
            mOutput.printf(
                    "| p%.0f | %d | %d | %d | %.2f |%n",
                    percentile,
                    directMicros,
                    throughHostMicros,
                    throughHostMicros - directMicros,
                    (double) throughHostMicros / directMicros);
        }
    }

    private String key(Deployment deployment) throws IOException {
        String output =
                deployment.runSuccessfulCommand("keys", "add", WORKSPACE, "--output", "json");
        JsonNode answer = mMapper.readTree(output);
        return answer.path("key").asText();
    }
}
