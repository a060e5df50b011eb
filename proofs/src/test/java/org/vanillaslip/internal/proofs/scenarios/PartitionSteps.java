package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Map;
import org.vanillaslip.internal.proofs.processes.CallerResponse;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** Steps for a failure domain that cannot reach the platform. */
public final class PartitionSteps {

    private static final String ROUTE = "/quotes/builder";

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final DeploymentObserver mObserver = SharedDeployment.observer();
    private long mTermBeforeLoss;

    /** Waits until the lease holder logs the loss of its lease (event 301). */
    @When("the lease of {string} is lost")
    public void awaitLeaseLost(String shard) {
        String holder = mObserver.leaseHolder(shard);
        // Read before the fault is removed: a host may acquire the next term during the removal.
        mTermBeforeLoss = mObserver.leaseTerm(shard);
        await(
                "the loss of the lease of " + shard,
                () ->
                        mDeployment
                                .host(holder)
                                .process()
                                .output()
                                .lines()
                                .anyMatch(
                                        line ->
                                                line.contains("event=301")
                                                        && line.contains(shard)));
    }

    /** Checks that each host of the failure domain returns a complete stream. */
    @Then("the hosts of failure domain {string} serve {string} completely")
    public void checkServed(String failureDomain, String model) {
        for (HostProcess host : mDeployment.hosts()) {
            if (host.failureDomain().equals(failureDomain)) {
                CallerResponse response = post(host, model, 60_000);
                assertThat(response.isCompleteStream()).as(response.body()).isTrue();
            }
        }
    }

    /** Checks a model that is not resident. The call itself times out after 60 s. */
    @Then("the hosts of failure domain {string} serve {string} or refuse it with a result code")
    public void checkServedOrRefused(String failureDomain, String model) {
        for (HostProcess host : mDeployment.hosts()) {
            if (host.failureDomain().equals(failureDomain)) {
                CallerResponse response = post(host, model, 20_000);
                boolean refused =
                        response.status() >= 400
                                && DeploymentObserver.parseJson(response.body())
                                                .path("code")
                                                .asInt()
                                        > 0;
                assertThat(refused || response.isCompleteStream())
                        .as(response.status() + " " + response.body())
                        .isTrue();
            }
        }
    }

    /** Waits until the platform stores a newer lease term, so the domain has rejoined. */
    @When("{string} has a lease holder with a newer term on the platform")
    public void awaitNewTerm(String shard) {
        await("a new term of " + shard, () -> mObserver.leaseTerm(shard) > mTermBeforeLoss);
    }

    private CallerResponse post(HostProcess host, String model, long deadlineMillis) {
        String body =
                "{\"model\": \"%s\", \"prompt\": \"door\", \"max_tokens\": 12, \"stream\": true}";
        return mDeployment
                .caller()
                .postRetryingQuota(
                        host.gatewayAddress(),
                        ROUTE,
                        Map.of(
                                "Authorization",
                                "Bearer " + SharedDeployment.key(),
                                "X-Request-Deadline-Millis",
                                Long.toString(deadlineMillis)),
                        body.formatted(model));
    }
}
