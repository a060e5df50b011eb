package org.vanillaslip.internal.proofs.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Map;
import org.vanillaslip.internal.proofs.processes.Caller;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** The calls of one deployment and the checks of their answers. */
final class DemoRun {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BOOKING = "{\"booking_reference\": \"demo-%s\"}";

    private final Deployment mDeployment;
    private final DemoScript mScript;
    private final Checks mChecks;
    private final PrintStream mOutput;
    private final Caller mCaller;

    DemoRun(Deployment deployment, DemoScript script, Checks checks, PrintStream output) {
        mDeployment = deployment;
        mScript = script;
        mChecks = checks;
        mOutput = output;
        mCaller = deployment.caller();
    }

    void run() {
        String key = addKey();
        mScript.streamRoutes().forEach(route -> callModel(route, key, true));
        mScript.wholeRoutes().forEach(route -> callModel(route, key, false));
        mScript.bookingRoutes().forEach(route -> bookTwice(route, key));
        callOpenRoute();
        callWithoutKey();
        printDecisions();
    }

    private String addKey() {
        String output = mDeployment.operate("keys", "add", mScript.workspace(), "--output", "json");
        String key = json(output).path("key").asText();
        Map<String, String> headers = bearer(key);
        String probe = "{\"model\": \"no-such-model\", \"prompt\": \"\", \"max_tokens\": 1}";
        for (HostProcess host : mDeployment.hosts()) {
            Deployment.await(
                    "the key on " + host.name(),
                    () ->
                            mCaller.post(
                                                    host.gatewayAddress(),
                                                    mScript.streamRoutes().get(0),
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
                mCaller.postWithRetry(
                        gateway(0), route, bearer(key), body.formatted(mScript.model(), stream));
        boolean correct =
                stream
                        ? response.isCompleteStream()
                        : response.status() == 200
                                && json(response.body())
                                                .path("usage")
                                                .path("completion_tokens")
                                                .asInt()
                                        == 12;
        mChecks.check("POST " + route, correct, response.status() + " " + response.body());
    }

    private void bookTwice(String route, String key) {
        Map<String, String> headers =
                Map.of("Authorization", "Bearer " + key, "Idempotency-Key", "demo" + route);
        String body = BOOKING.formatted(route.substring(1));
        CallerResponse first = mCaller.postWithRetry(gateway(1), route, headers, body);
        mChecks.check("POST " + route, first.status() == 200, first.status() + " " + first.body());
        CallerResponse repeat = mCaller.postWithRetry(gateway(2), route, headers, body);
        mChecks.check(
                "POST " + route + " again on another host",
                repeat.status() == 200 && repeat.body().equals(first.body()),
                repeat.status() + " " + repeat.body());
    }

    private void callOpenRoute() {
        CallerResponse response = mCaller.get(gateway(3), mScript.openRoute() + "?item=oak");
        mChecks.check(
                "GET " + mScript.openRoute() + " without a key",
                response.status() == 200,
                response.status() + " " + response.body());
    }

    private void callWithoutKey() {
        CallerResponse response =
                mCaller.postWithRetry(gateway(0), mScript.streamRoutes().get(0), Map.of(), "{}");
        mChecks.check(
                "POST " + mScript.streamRoutes().get(0) + " without a key is refused",
                response.status() == 401 && json(response.body()).path("not_run").asBoolean(),
                response.status() + " " + response.body());
    }

    private void printDecisions() {
        mOutput.println("decisions in the logs (docs/LOG-EVENTS.md explains the event numbers):");
        for (HostProcess host : mDeployment.hosts()) {
            host.process()
                    .output()
                    .lines()
                    .filter(DecisionLines::isDecision)
                    .map(DecisionLines::withoutTimeAndLogger)
                    .forEach(line -> mOutput.println("  " + host.name() + ": " + line));
        }
    }

    private String gateway(int host) {
        return mDeployment.hosts().get(host).gatewayAddress();
    }

    private static Map<String, String> bearer(String key) {
        return Map.of("Authorization", "Bearer " + key);
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
