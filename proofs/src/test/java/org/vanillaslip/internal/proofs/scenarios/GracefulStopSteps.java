package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanillaslip.internal.proofs.processes.BackgroundLoad;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Steps for planned stops of hosts. */
public final class GracefulStopSteps {

    private static final String ROUTE = "/quotes/builder";
    private static final int HOST_STOPPING_CODE = 3001;

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final List<CompletableFuture<CallerResponse>> mStreams = new ArrayList<>();
    private List<String> mInterruptedRequests = List.of();

    /** Starts streams of 250 tokens, which the engine generates in 5 s. */
    @When("{int} streams run on {string}")
    public void startStreams(int count, String host) {
        DeploymentObserver observer = SharedDeployment.observer();
        for (int i = 0; i < count; i++) {
            String prompt = "graceful-" + i;
            mStreams.add(SharedDeployment.runAsync(() -> postRetryingRefusals(host, prompt, 250)));
        }
        for (int i = 0; i < count; i++) {
            String prompt = "graceful-" + i;
            await(
                    prompt,
                    () ->
                            observer.receivedContents().stream()
                                    .anyMatch(text -> text.contains(prompt)));
        }
    }

    /** Starts a planned stop. */
    @When("the host {string} receives SIGTERM")
    public void sendTerminationSignal(String host) {
        mDeployment.host(host).process().requestStop();
    }

    /** Checks that the host reports not ready before it exits. */
    @Then("the host {string} reports not ready while it still responds")
    public void awaitNotReady(String host) {
        await(
                "status 503 of the readiness endpoint of " + host,
                () ->
                        mDeployment
                                        .caller()
                                        .get(SharedDeployment.gatewayAddress(host), "/readyz")
                                        .status()
                                == 503);
    }

    /** Checks that new requests are refused with "not run". */
    @Then("the host {string} refuses new requests with \"not run\"")
    public void awaitRefusal(String host) {
        await(
                "a refusal by " + host,
                () -> {
                    CallerResponse response = post(host, "late", 1);
                    JsonNode refusal =
                            DeploymentObserver.parseJson(
                                    response.status() >= 400 ? response.body() : "{}");
                    return refusal.path("code").asInt() == HOST_STOPPING_CODE
                            && refusal.path("not_run").asBoolean();
                });
    }

    /** Checks that all running streams were completed. */
    @Then("every stream is complete")
    public void checkStreamsComplete() {
        for (CompletableFuture<CallerResponse> stream : mStreams) {
            CallerResponse response = stream.join();
            assertThat(response.isCompleteStream()).as(response.body()).isTrue();
        }
    }

    /** Checks that the host exits after the planned stop. */
    @Then("the host {string} exits without being killed, with exit code {int}")
    public void checkExitCode(String host, int exitCode) {
        await("the exit of " + host, () -> !mDeployment.host(host).process().isAlive());
        assertThat(mDeployment.host(host).process().stop()).isEqualTo(exitCode);
    }

    /** Stops and restarts one host after the other while callers keep sending requests. */
    @When("the hosts are replaced one after the other under load")
    public void replaceAllHosts() {
        BackgroundLoad load =
                new BackgroundLoad(mDeployment, ROUTE, headers(), body("rolling", 20));
        load.start();
        for (HostProcess host : mDeployment.hosts()) {
            int before = load.completedRequests();
            await(
                    "answers before the stop of " + host.name(),
                    () -> load.completedRequests() > before + 4);
            host.process().requestStop();
            await("the exit of " + host.name(), () -> !host.process().isAlive());
            mDeployment.restartHost(host.name());
        }
        mInterruptedRequests = load.stop();
    }

    /** Checks that the background load recorded no interrupted request. */
    @Then("no request was interrupted")
    public void checkNoInterruptedRequests() {
        assertThat(mInterruptedRequests).isEmpty();
    }

    private CallerResponse post(String host, String prompt, int tokens) {
        return mDeployment
                .caller()
                .postRetryingQuota(
                        SharedDeployment.gatewayAddress(host),
                        ROUTE,
                        headers(),
                        body(prompt, tokens));
    }

    private CallerResponse postRetryingRefusals(String host, String prompt, int tokens) {
        return mDeployment
                .caller()
                .postRetryingRefusals(
                        SharedDeployment.gatewayAddress(host),
                        ROUTE,
                        headers(),
                        body(prompt, tokens));
    }

    private static Map<String, String> headers() {
        return Map.of("Authorization", "Bearer " + SharedDeployment.key());
    }

    private static String body(String prompt, int tokens) {
        return ("{\"model\": \"edge-quote\", \"prompt\": \"%s\", \"max_tokens\": %d,"
                        + " \"stream\": true}")
                .formatted(prompt, tokens);
    }
}
