package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Steps for model loads, leases and engines. */
public final class PlacementSteps {

    private static final String REQUEST_BODY =
            "{\"model\": \"%s\", \"prompt\": \"worktop\", \"max_tokens\": 12, \"stream\": true}";

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final DeploymentObserver mObserver = SharedDeployment.observer();
    private CompletableFuture<CallerResponse> mWaitingRequest = new CompletableFuture<>();
    private String mLoadingEngine = "";
    private String mFormerLeaseHolder = "";

    /** Runs a command of the operators' tool, such as drain or restore. */
    @Given("the operator runs {string}")
    public void runCommand(String command) {
        mDeployment.runSuccessfulCommand(command.split(" "));
    }

    /** Sends the request to a host that stays alive when the lease holder fails. */
    @When("a caller requests {string} from a host that does not hold the lease of {string}")
    public void requestModelFromOtherHost(String model, String shard) {
        await("a lease holder of " + shard, () -> !mObserver.leaseHolder(shard).isEmpty());
        mFormerLeaseHolder = mObserver.leaseHolder(shard);
        String domain = mDeployment.host(mFormerLeaseHolder).failureDomain();
        HostProcess otherHost =
                mDeployment.hosts().stream()
                        .filter(host -> host.failureDomain().equals(domain))
                        .filter(host -> !host.name().equals(mFormerLeaseHolder))
                        .findFirst()
                        .orElseThrow();
        mWaitingRequest = SharedDeployment.runAsync(() -> post(otherHost.name(), model));
    }

    /** Waits until the engine reports the model as loading. */
    @When("{string} is being loaded on {string}")
    public void awaitLoading(String model, String engine) {
        mLoadingEngine = engine;
        await(
                "the load of " + model + " on " + engine,
                () -> mObserver.modelState(engine, model).equals("loading"));
    }

    /** Suspends the lease holder. */
    @When("the lease holder is suspended")
    public void suspendLeaseHolder() {
        mDeployment.host(mFormerLeaseHolder).process().suspend();
    }

    /** Kills the process of the lease holder. */
    @When("the lease holder is killed")
    public void killLeaseHolder() {
        mDeployment.host(mFormerLeaseHolder).process().kill();
    }

    /** Restarts the engine that is loading the model. */
    @When("the engine restarts without models at the same address")
    public void restartEngine() {
        SharedDeployment.faultInjector().restartEngineWithoutModels(mLoadingEngine);
    }

    /** Waits until another host has acquired the lease. */
    @When("another host holds the lease of {string}")
    public void awaitNewLeaseHolder(String shard) {
        await(
                "a new lease holder instead of " + mFormerLeaseHolder,
                () ->
                        !mObserver.leaseHolder(shard).isEmpty()
                                && !mObserver.leaseHolder(shard).equals(mFormerLeaseHolder));
    }

    /** Resumes the suspended host and waits until it is ready. */
    @When("the suspended host resumes")
    public void resumeHost() {
        mDeployment.host(mFormerLeaseHolder).process().resume();
        await(
                mFormerLeaseHolder + " to be ready",
                () ->
                        mDeployment
                                        .caller()
                                        .get(
                                                SharedDeployment.gatewayAddress(mFormerLeaseHolder),
                                                "/readyz")
                                        .status()
                                == 200);
    }

    /**
     * Checks that all hosts of the failure domain serve the model, including the former lease
     * holder.
     */
    @Then("{string} is served completely by the hosts of failure domain {string}")
    public void awaitServedByAllHosts(String model, String failureDomain) {
        for (HostProcess host : mDeployment.hosts()) {
            if (host.failureDomain().equals(failureDomain)) {
                await(
                        model + " at " + host.name(),
                        () -> post(host.name(), model).isCompleteStream());
            }
        }
    }

    /** Checks the response to the request that was waiting for the load. */
    @Then("the waiting request is answered completely or refused with a result code")
    public void checkAnsweredOrRefused() {
        CallerResponse response = mWaitingRequest.join();
        assertThat(
                        response.isCompleteStream()
                                || (response.status() >= 400
                                        && DeploymentObserver.parseJson(response.body())
                                                        .path("code")
                                                        .asInt()
                                                > 0))
                .as(response.status() + " " + response.body())
                .isTrue();
    }

    /** Checks that no engine has reported a protocol violation. */
    @Then("no engine reports a violation")
    public void checkNoViolation() {
        assertThat(mObserver.violations()).isEmpty();
    }

    /** Checks the number of replicas against the budget in the lists. */
    @Then("failure domain {string} has at most {int} replica(s) of {string}")
    public void checkReplicas(String failureDomain, int maxReplicas, String model) {
        assertThat(mObserver.countReplicas(failureDomain, model)).isLessThanOrEqualTo(maxReplicas);
    }

    private CallerResponse post(String host, String model) {
        return mDeployment
                .caller()
                .postRetryingQuota(
                        SharedDeployment.gatewayAddress(host),
                        "/quotes/builder",
                        Map.of("Authorization", "Bearer " + SharedDeployment.key()),
                        REQUEST_BODY.formatted(model));
    }
}
