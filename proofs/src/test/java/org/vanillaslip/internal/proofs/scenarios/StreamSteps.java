package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Steps for bursts of requests and for streams that the engine interrupts. */
public final class StreamSteps {

    private static final int TOKENS_PER_STREAM = 12;

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final List<CompletableFuture<CallerResponse>> mRequests = new ArrayList<>();

    /** Sets faults of all engines; the text is the JSON body for their path {@code /faults}. */
    @Given("the engines have the fault {string}")
    public void setEngineFaults(String body) {
        SharedDeployment.faultInjector().setEngineFaults(body);
    }

    /** Sends concurrent requests to all hosts, without retries of refused ones. */
    @When("{int} callers at every host request {string} with a deadline of {long} ms")
    public void sendBurst(int callers, String model, long deadlineMillis) {
        for (int i = 0; i < callers; i++) {
            for (HostProcess host : mDeployment.hosts()) {
                mRequests.add(post(host, model, deadlineMillis, "burst-" + i));
            }
        }
    }

    /** Checks that each request got a response; a call without response fails after 60 s. */
    @Then("every request is answered completely or refused with a result code")
    public void checkAnsweredOrRefused() {
        assertThat(mRequests).allSatisfy(request -> assertCompleteOrRefused(request.join(), true));
    }

    /** Checks that each stream contains every token exactly once, also after a resume. */
    @Then("every request is answered completely")
    public void checkAnswered() {
        assertThat(mRequests).allSatisfy(request -> assertCompleteOrRefused(request.join(), false));
    }

    /** Ensures that the scenario does not pass because all requests were refused. */
    @Then("at least {int} request(s) was/were answered completely")
    public void checkMinimumAnswered(int minimum) {
        assertThat(mRequests.stream().filter(request -> request.join().isCompleteStream()).count())
                .isGreaterThanOrEqualTo(minimum);
    }

    private static void assertCompleteOrRefused(CallerResponse response, boolean refusalAllowed) {
        if (response.isCompleteStream()) {
            List<Integer> offsets =
                    events(response)
                            .filter(event -> event.has("token"))
                            .map(event -> event.path("offset").asInt())
                            .toList();
            assertThat(offsets)
                    .as(response.body())
                    .isEqualTo(Stream.iterate(0, i -> i + 1).limit(TOKENS_PER_STREAM).toList());
            assertThat(events(response).map(event -> event.path("request_id").asText()).distinct())
                    .as(response.body())
                    .hasSize(1);
        } else {
            assertThat(refusalAllowed).as(response.status() + " " + response.body()).isTrue();
            assertThat(response.body()).contains("\"code\":").doesNotContain("[DONE]");
        }
    }

    private static Stream<JsonNode> events(CallerResponse response) {
        return response.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> DeploymentObserver.parseJson(line.substring("data: ".length())));
    }

    private CompletableFuture<CallerResponse> post(
            HostProcess host, String model, long deadlineMillis, String prompt) {
        String body =
                "{\"model\": \"%s\", \"prompt\": \"%s\", \"max_tokens\": %d, \"stream\": true}";
        return mDeployment
                .caller()
                .postAsync(
                        host.gatewayAddress(),
                        "/quotes/builder",
                        Map.of(
                                "Authorization",
                                "Bearer " + SharedDeployment.key(),
                                "X-Request-Deadline-Millis",
                                Long.toString(deadlineMillis)),
                        body.formatted(model, prompt, TOKENS_PER_STREAM));
    }
}
