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

/** Steps for the keys of callers. */
public final class KeySteps {

    /** The engine generates 1500 tokens in 30 s, far longer than a key withdrawal takes. */
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

    /** Sends a request that contains the key in headers, the cookie and the query. */
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

    /** Checks that no content received by a backend server contains the key. */
    @Then("no backend server received the key")
    public void checkKeyNotReceived() {
        assertThat(mObserver.receivedContents()).noneMatch(text -> text.contains(mKey));
    }

    /** Adds a key that the other scenarios of the feature do not use. */
    @Given("a key that only this scenario uses")
    public void addSeparateKey() {
        mKey = SharedDeployment.addKey();
    }

    /** Starts a long stream on each host and waits until an engine has received the request. */
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

    /** Withdraws the key of the scenario. */
    @When("the operator withdraws the key")
    public void withdrawKey() {
        mDeployment.runSuccessfulCommand("keys", "withdraw", SharedDeployment.WORKSPACE, mKey);
    }

    /** Waits until each host refuses requests with the key. */
    @Then("every host refuses the key")
    public void awaitKeyRefused() {
        for (HostProcess host : mDeployment.hosts()) {
            await(
                    "the refusal at " + host.name(),
                    () -> SharedDeployment.statusWithKey(host, mKey) == 401);
        }
    }

    /** Checks that every stream ended before its last token and contains result code 1009. */
    @Then("every stream ends early and without a complete answer")
    public void checkStreamsEndedEarly() {
        for (CompletableFuture<CallerResponse> stream : mStreams) {
            assertThat(stream.join().isCompleteStream()).isFalse();
            assertThat(stream.join().body()).contains("1009");
        }
    }
}
