package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Steps about callers' keys. */
public final class KeySteps {

    /** 1500 tokens take the engine 30 s, far longer than a withdrawal. */
    private static final String LONG_STREAM =
            "{\"model\": \"edge-quote\", \"prompt\": \"%s\", \"max_tokens\": 1500,"
                    + " \"stream\": true}";

    private static final String SHORT_STREAM =
            "{\"model\": \"edge-quote\", \"prompt\": \"%s\", \"max_tokens\": 4, \"stream\": true,"
                    + " \"booking_reference\": \"%s\"}";

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final DeploymentObserver mObserver = SharedDeployment.observer();
    private final List<CompletableFuture<CallerResponse>> mStreams = new ArrayList<>();
    private String mKey = SharedDeployment.key();

    /** Puts the key into every place that a caller can reach. */
    @When("a caller puts its key into all headers, the cookie and the query of {string}")
    public void callWithKeyInAllPlaces(String route) {
        String marker = "marker" + route.replace('/', '-');
        Map<String, String> headers =
                Map.of(
                        "Authorization", "Bearer " + mKey,
                        "X-Api-Key", mKey,
                        "Cookie", "session=" + mKey,
                        "X-Custom-Token", mKey,
                        "Accept", "text/" + mKey,
                        "Idempotency-Key", "everywhere" + marker);
        for (HostProcess host : mDeployment.hosts()) {
            CallerResponse response =
                    mDeployment
                            .caller()
                            .postRetryingRefusals(
                                    host.gatewayAddress(),
                                    route + "?key=" + mKey + "&access_token=" + mKey,
                                    headers,
                                    SHORT_STREAM.formatted(marker, marker));
            assertThat(response.status()).as(response.body()).isEqualTo(200);
        }
        assertThat(mObserver.receivedContents()).anyMatch(text -> text.contains(marker));
    }

    /** Looks for the key in everything that backend servers received. */
    @Then("no backend server received the key")
    public void checkKeyNotReceived() {
        assertThat(mObserver.receivedContents()).noneMatch(text -> text.contains(mKey));
    }

    /** Adds a key for this scenario alone. */
    @Given("a key that only this scenario uses")
    public void addSeparateKey() {
        mKey = SharedDeployment.addKey();
    }

    /** Starts one long stream on every host and waits until an engine has received each. */
    @When("a long stream with the key runs on every host")
    public void startStreams() {
        for (HostProcess host : mDeployment.hosts()) {
            String prompt = "long-stream-" + host.name();
            mStreams.add(
                    SharedDeployment.runAsync(
                            () ->
                                    mDeployment
                                            .caller()
                                            .postRetryingRefusals(
                                                    host.gatewayAddress(),
                                                    "/quotes/builder",
                                                    Map.of("Authorization", "Bearer " + mKey),
                                                    LONG_STREAM.formatted(prompt))));
            await(
                    prompt,
                    () ->
                            mObserver.receivedContents().stream()
                                    .anyMatch(text -> text.contains(prompt)));
        }
        assertThat(mStreams).noneMatch(CompletableFuture::isDone);
    }

    /** Withdraws the key. */
    @When("the operator withdraws the key")
    public void withdrawKey() {
        mDeployment.runSuccessfulCommand("keys", "withdraw", SharedDeployment.WORKSPACE, mKey);
    }

    /** Checks that new requests are refused. */
    @Then("every host refuses the key")
    public void awaitKeyRefused() {
        for (HostProcess host : mDeployment.hosts()) {
            await(
                    "the refusal at " + host.name(),
                    () -> SharedDeployment.statusWithKey(host, mKey) == 401);
        }
    }

    /** Checks that no stream came to its regular end. */
    @Then("every stream ends early and without a complete answer")
    public void checkStreamsEndedEarly() {
        for (CompletableFuture<CallerResponse> stream : mStreams) {
            assertThat(stream.join().isCompleteStream()).isFalse();
            assertThat(stream.join().body()).contains("1009");
        }
    }
}
