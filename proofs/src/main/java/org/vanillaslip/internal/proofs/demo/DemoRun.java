package org.vanillaslip.internal.proofs.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.HostProcess;
import org.vanillaslip.internal.proofs.processes.HttpCaller;

/** Sends the demo calls to one deployment and checks their answers. */
final class DemoRun {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BOOKING = "{\"booking_reference\": \"demo-%s\"}";

    private final Deployment mDeployment;
    private final DemoScenario mScenario;
    private final CheckReport mReport;
    private final PrintStream mOutput;
    private final HttpCaller mCaller;

    DemoRun(Deployment deployment, DemoScenario scenario, CheckReport report, PrintStream output) {
        mDeployment = deployment;
        mScenario = scenario;
        mReport = report;
        mOutput = output;
        mCaller = deployment.caller();
    }

    void run() {
        String key = addKey();
        mScenario.streamRoutes().forEach(route -> callModel(route, key, true));
        mScenario.unstreamedRoutes().forEach(route -> callModel(route, key, false));
        mScenario.bookingRoutes().forEach(route -> bookTwice(route, key));
        callOpenRoute();
        callWithoutKey();
        printDecisions();
        List<String> faults = mDeployment.logs().readNewFaults();
        mReport.check("the logs show no error", faults.isEmpty(), String.join("\n", faults));
    }

    private String addKey() {
        String output =
                mDeployment.runSuccessfulCommand(
                        "keys", "add", mScenario.workspace(), "--output", "json");
        String key = parseJson(output).path("key").asText();
        Map<String, String> headers = authorizationHeader(key);
        String probe = "{\"model\": \"no-such-model\", \"prompt\": \"\", \"max_tokens\": 1}";
        for (HostProcess host : mDeployment.hosts()) {
            Deployment.await(
                    "the key on " + host.name(),
                    () ->
                            mCaller.post(
                                                    host.gatewayAddress(),
                                                    mScenario.streamRoutes().get(0),
                                                    headers,
                                                    probe)
                                            .status()
                                    != 401);
        }
        return key;
    }

    private void callModel(String route, String key, boolean stream) {
        String body =
                "{\"model\": \"%s\", \"prompt\": \"edge profile for a kitchen island\","
                        + " \"max_tokens\": 12, \"stream\": %s}";
        CallerResponse response =
                mCaller.postRetryingQuota(
                        gatewayAddress(0),
                        route,
                        authorizationHeader(key),
                        body.formatted(mScenario.model(), stream));
        boolean correct =
                stream
                        ? response.isCompleteStream()
                        : response.status() == 200
                                && parseJson(response.body())
                                                .path("usage")
                                                .path("completion_tokens")
                                                .asInt()
                                        == 12;
        mReport.check("POST " + route, correct, response.status() + " " + response.body());
    }

    private void bookTwice(String route, String key) {
        Map<String, String> headers =
                Map.of("Authorization", "Bearer " + key, "Idempotency-Key", "demo" + route);
        String body = BOOKING.formatted(route.substring(1));
        CallerResponse first = mCaller.postRetryingQuota(gatewayAddress(1), route, headers, body);
        mReport.check("POST " + route, first.status() == 200, first.status() + " " + first.body());
        CallerResponse repeat = mCaller.postRetryingQuota(gatewayAddress(2), route, headers, body);
        mReport.check(
                "POST " + route + " again on another host",
                repeat.status() == 200 && repeat.body().equals(first.body()),
                repeat.status() + " " + repeat.body());
    }

    private void callOpenRoute() {
        CallerResponse response =
                mCaller.get(gatewayAddress(3), mScenario.openRoute() + "?item=oak");
        mReport.check(
                "GET " + mScenario.openRoute() + " without a key",
                response.status() == 200,
                response.status() + " " + response.body());
    }

    private void callWithoutKey() {
        CallerResponse response =
                mCaller.postRetryingQuota(
                        gatewayAddress(0), mScenario.streamRoutes().get(0), Map.of(), "{}");
        mReport.check(
                "POST " + mScenario.streamRoutes().get(0) + " without a key is refused",
                response.status() == 401 && parseJson(response.body()).path("not_run").asBoolean(),
                response.status() + " " + response.body());
    }

    private void printDecisions() {
        mOutput.println("decisions in the logs (docs/LOG-EVENTS.md explains the event numbers):");
        for (HostProcess host : mDeployment.hosts()) {
            host.process()
                    .output()
                    .lines()
                    .filter(DecisionLogLines::isDecision)
                    .map(DecisionLogLines::withoutTimeAndLogger)
                    .forEach(line -> mOutput.println("  " + host.name() + ": " + line));
        }
    }

    private String gatewayAddress(int host) {
        return mDeployment.hosts().get(host).gatewayAddress();
    }

    private static Map<String, String> authorizationHeader(String key) {
        return Map.of("Authorization", "Bearer " + key);
    }

    private static JsonNode parseJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
