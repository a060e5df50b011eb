package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Observations;

/** Steps about calls that must not run twice. */
public final class BookingSteps {

    private static final String ROUTE = "/press-slots";
    private static final int IN_PROGRESS = 4002;

    private CallerResponse mAnswer = new CallerResponse(0, "", Optional.empty());
    private CallerResponse mFirst = mAnswer;

    /** Switches a fault of the next call of each service. */
    @Given("the next call of each service has the fault {string} with {long} ms delay")
    public void serviceFault(String fault, long delayMillis) {
        SharedDeployment.faults().services(fault, 1, delayMillis);
    }

    /** Switches a fault of the platform. */
    @Given("the platform has the fault {string}")
    public void platformFault(String body) {
        SharedDeployment.faults().platform(body);
    }

    /** Removes all faults before the end of the scenario. */
    @When("the fault is over")
    public void heal() {
        SharedDeployment.faults().heal();
    }

    /** Starts a booking whose answer nobody waits for. */
    @When("a caller starts the booking {string} on {string}")
    public void startBooking(String reference, String host) {
        SharedDeployment.deployment()
                .caller()
                .postLater(
                        SharedDeployment.gateway(host), ROUTE, headers(reference), body(reference));
        await(
                "the execution of " + reference,
                () -> SharedDeployment.observations().executions(reference) > 0);
    }

    /** Books and waits for the answer. */
    @When("a caller books {string} on {string}")
    public void book(String reference, String host) {
        mAnswer = post(reference, host, headers(reference));
        mFirst = mAnswer;
    }

    /** Books with a deadline. */
    @When("a caller books {string} on {string} with a deadline of {long} ms")
    public void bookInTime(String reference, String host, long deadlineMillis) {
        Map<String, String> headers = new HashMap<>(headers(reference));
        headers.put("X-Request-Deadline-Millis", Long.toString(deadlineMillis));
        mAnswer = post(reference, host, headers);
    }

    /** Repeats a booking until its attempt is no longer in progress. */
    @When("the caller repeats the booking {string} on {string}")
    public void repeat(String reference, String host) {
        await(
                "the outcome of " + reference,
                () -> {
                    mAnswer = post(reference, host, headers(reference));
                    return code() != IN_PROGRESS;
                });
    }

    /** Kills a host. */
    @When("the host {string} is killed")
    public void kill(String host) {
        SharedDeployment.deployment().host(host).process().kill();
    }

    /** Checks a successful answer. */
    @Then("the answer is the outcome of the booking")
    public void outcome() {
        assertThat(mAnswer.status()).as(mAnswer.body()).isEqualTo(200);
    }

    /** Checks that the first answer was recorded. */
    @Then("the answer is the same as the first one")
    public void sameOutcome() {
        assertThat(mAnswer.body()).isEqualTo(mFirst.body());
    }

    /** Checks a refusal. */
    @Then("the answer has the result code {int} and \"not run\" is {word}")
    public void refused(int code, String notRun) {
        assertThat(code()).as(mAnswer.body()).isEqualTo(code);
        assertThat(answer().path("not_run").asText()).as(mAnswer.body()).isEqualTo(notRun);
    }

    /** Counts the executions on all services. */
    @Then("the booking {string} was executed {int} time(s)")
    public void executed(String reference, int times) {
        assertThat(SharedDeployment.observations().executions(reference)).isEqualTo(times);
    }

    private int code() {
        return answer().path("code").asInt();
    }

    private JsonNode answer() {
        return Observations.json(mAnswer.body());
    }

    private static CallerResponse post(String reference, String host, Map<String, String> headers) {
        return SharedDeployment.deployment()
                .caller()
                .postWithRetry(SharedDeployment.gateway(host), ROUTE, headers, body(reference));
    }

    private static Map<String, String> headers(String reference) {
        return Map.of(
                "Authorization",
                "Bearer " + SharedDeployment.key(),
                "Idempotency-Key",
                "key-" + reference);
    }

    private static String body(String reference) {
        return "{\"booking_reference\": \"%s\"}".formatted(reference);
    }
}
