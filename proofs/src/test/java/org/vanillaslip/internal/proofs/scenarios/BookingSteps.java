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
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;

/** Steps for calls that must not run twice. */
public final class BookingSteps {

    private static final String ROUTE = "/press-slots";
    private static final int ATTEMPT_IN_PROGRESS_CODE = 4002;

    private CallerResponse mResponse = new CallerResponse(0, "", Optional.empty());
    private CallerResponse mFirstResponse = mResponse;

    /** Sets a fault for the next call of each service. */
    @Given("the next call of each service has the fault {string} with {long} ms delay")
    public void setServiceFault(String fault, long delayMillis) {
        SharedDeployment.faultInjector().setServiceFault(fault, 1, delayMillis);
    }

    /** Sets faults of the platform; the text is the JSON body for its path {@code /faults}. */
    @Given("the platform has the fault {string}")
    public void setPlatformFault(String body) {
        SharedDeployment.faultInjector().setPlatformFaults(body);
    }

    /** Removes all faults and restarts killed hosts during the scenario. */
    @When("all faults are removed")
    public void removeFaults() {
        SharedDeployment.faultInjector().removeAll();
    }

    /**
     * Sends a booking without waiting for the response, and waits until a service has executed it.
     */
    @When("a caller starts the booking {string} on {string}")
    public void startBooking(String reference, String host) {
        SharedDeployment.deployment()
                .caller()
                .postAsync(
                        SharedDeployment.gatewayAddress(host),
                        ROUTE,
                        headers(reference),
                        body(reference));
        await(
                "the execution of booking " + reference,
                () -> SharedDeployment.observer().countExecutions(reference) > 0);
    }

    /** Sends a booking and keeps its response for later comparison. */
    @When("a caller books {string} on {string}")
    public void book(String reference, String host) {
        mResponse = post(reference, host, headers(reference));
        mFirstResponse = mResponse;
    }

    /** Sends a booking with a deadline. */
    @When("a caller books {string} on {string} with a deadline of {long} ms")
    public void bookWithDeadline(String reference, String host, long deadlineMillis) {
        Map<String, String> headers = new HashMap<>(headers(reference));
        headers.put("X-Request-Deadline-Millis", Long.toString(deadlineMillis));
        mResponse = post(reference, host, headers);
    }

    /** Repeats a booking until the first attempt is no longer in progress. */
    @When("the caller repeats the booking {string} on {string}")
    public void repeatBooking(String reference, String host) {
        await(
                "the outcome of booking " + reference,
                () -> {
                    mResponse = post(reference, host, headers(reference));
                    return resultCode() != ATTEMPT_IN_PROGRESS_CODE;
                });
    }

    /** Kills the process of a host. */
    @When("the host {string} is killed")
    public void killHost(String host) {
        SharedDeployment.deployment().host(host).process().kill();
    }

    /** Checks that the booking succeeded. */
    @Then("the answer is the outcome of the booking")
    public void checkSuccess() {
        assertThat(mResponse.status()).as(mResponse.body()).isEqualTo(200);
    }

    /** Checks that the repeated booking returned the recorded first response. */
    @Then("the answer is the same as the first one")
    public void checkSameAsFirstResponse() {
        assertThat(mResponse.body()).isEqualTo(mFirstResponse.body());
    }

    /** Checks the result code and the field "not run" of a refusal. */
    @Then("the answer has the result code {int} and \"not run\" is {word}")
    public void checkRefusal(int code, String notRun) {
        assertThat(resultCode()).as(mResponse.body()).isEqualTo(code);
        assertThat(responseJson().path("not_run").asText()).as(mResponse.body()).isEqualTo(notRun);
    }

    /** Checks the number of executions on all services together. */
    @Then("the booking {string} was executed {int} time(s)")
    public void checkExecutions(String reference, int times) {
        assertThat(SharedDeployment.observer().countExecutions(reference)).isEqualTo(times);
    }

    private int resultCode() {
        return responseJson().path("code").asInt();
    }

    private JsonNode responseJson() {
        return DeploymentObserver.parseJson(mResponse.body());
    }

    private static CallerResponse post(String reference, String host, Map<String, String> headers) {
        return SharedDeployment.deployment()
                .caller()
                .postRetryingQuota(
                        SharedDeployment.gatewayAddress(host), ROUTE, headers, body(reference));
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
