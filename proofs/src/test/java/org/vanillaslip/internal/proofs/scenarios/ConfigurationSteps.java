package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.proofs.processes.CommandResult;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.HostProcess;
import org.vanillaslip.internal.proofs.processes.JavaProcess;

/** Steps for configuration changes, keys and drains. */
public final class ConfigurationSteps {

    private static final String QUOTE =
            "{\"model\": \"edge-quote\", \"prompt\": \"shelf\", \"max_tokens\": 4,"
                    + " \"stream\": true}";

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final DeploymentObserver mObserver = SharedDeployment.observer();
    private String mKey = "";
    private List<CommandResult> mCommandResults = List.of();

    /** Sends requests to all ready hosts until one of them reaches the server. */
    @Given("new requests are sent to {string}")
    public void awaitRequestsReach(String server) {
        int before = mObserver.countCallsTo(server);
        await(
                "a request to " + server,
                () -> {
                    readyHosts().forEach(this::isServed);
                    return mObserver.countCallsTo(server) > before;
                });
    }

    /** Waits until all hosts have applied the platform's current configuration. */
    @When("every host has the platform's configuration")
    public void awaitConfigurationInForce() {
        long version = mObserver.configurationVersion();
        for (HostProcess host : mDeployment.hosts()) {
            await(
                    "version " + version + " on " + host.name(),
                    () -> mObserver.configurationVersion(host) >= version);
        }
    }

    /** Checks that other servers handle all requests. */
    @Then("{int} rounds of requests are served and none is sent to {string}")
    public void checkNoRequestReaches(int rounds, String server) {
        int before = mObserver.countCallsTo(server);
        assertThat(readyHosts()).isNotEmpty();
        for (int i = 0; i < rounds; i++) {
            for (HostProcess host : readyHosts()) {
                assertThat(isServed(host)).as(host.name()).isTrue();
            }
        }
        assertThat(mObserver.countCallsTo(server)).isEqualTo(before);
    }

    /** Checks the readiness endpoint that the load balancer queries. */
    @Then("the hosts of failure domain {string} are not ready")
    public void checkNotReady(String failureDomain) {
        assertThat(readyHosts()).noneMatch(host -> host.failureDomain().equals(failureDomain));
    }

    /** Suspends the process of a host. */
    @Given("the host {string} is suspended")
    public void suspendHost(String host) {
        mDeployment.host(host).process().suspend();
    }

    /** Adds a key without waiting until the hosts accept it. */
    @When("the operator adds a key")
    public void addKey() {
        String output =
                mDeployment.runSuccessfulCommand(
                        "keys", "add", SharedDeployment.WORKSPACE, "--output", "json");
        mKey = DeploymentObserver.parseJson(output).path("key").asText();
    }

    /** Withdraws the key that the scenario added. */
    @When("the operator withdraws the added key")
    public void withdrawKey() {
        mDeployment.runSuccessfulCommand("keys", "withdraw", SharedDeployment.WORKSPACE, mKey);
    }

    /** Waits until the host accepts the key. */
    @Then("the host {string} accepts the added key")
    public void awaitKeyAccepted(String host) {
        HostProcess process = mDeployment.host(host);
        await("the key on " + host, () -> SharedDeployment.statusWithKey(process, mKey) != 401);
    }

    /** Checks that all hosts refuse the key and that no host accepts it later. */
    @Then("every host refuses the added key in {int} consecutive rounds")
    public void checkKeyRefused(int rounds) {
        awaitConfigurationInForce();
        for (int i = 0; i < rounds; i++) {
            for (HostProcess host : mDeployment.hosts()) {
                assertThat(SharedDeployment.statusWithKey(host, mKey))
                        .as(host.name())
                        .isEqualTo(401);
            }
        }
    }

    /**
     * Runs two concurrent changes of the same item. A slow platform widens the window between read
     * and write; the commands are repeated until they conflict.
     */
    @When("two operators change the same workspace at the same time")
    public void changeWorkspaceConcurrently() {
        SharedDeployment.faultInjector().setPlatformFaults("{\"latencyMillis\": 1000}");
        await(
                "a conflict",
                () -> {
                    List<JavaProcess> operators = List.of(startKeyCommand(), startKeyCommand());
                    operators.forEach(
                            operator -> await(operator.name(), () -> !operator.isAlive()));
                    mCommandResults =
                            operators.stream()
                                    .map(
                                            operator ->
                                                    new CommandResult(
                                                            operator.stop(), operator.output()))
                                    .toList();
                    return mCommandResults.stream().anyMatch(operator -> operator.exitCode() != 0);
                });
        SharedDeployment.faultInjector().removeAll();
    }

    /** Checks both exit codes and the error message of the failed command. */
    @Then("one change succeeds and the other ends with exit code 3 and names both versions")
    public void checkConflict() {
        assertThat(mCommandResults)
                .extracting(CommandResult::exitCode)
                .containsExactlyInAnyOrder(0, 3);
        CommandResult failedCommand =
                mCommandResults.stream()
                        .filter(operator -> operator.exitCode() == 3)
                        .findFirst()
                        .orElseThrow();
        assertThat(failedCommand.output()).containsPattern("(?s)version \\d+.*version \\d+");
    }

    private JavaProcess startKeyCommand() {
        return mDeployment.startCommand("keys", "add", SharedDeployment.WORKSPACE);
    }

    private List<HostProcess> readyHosts() {
        return mDeployment.hosts().stream()
                .filter(
                        host ->
                                mDeployment.caller().get(host.gatewayAddress(), "/readyz").status()
                                        == 200)
                .toList();
    }

    private boolean isServed(HostProcess host) {
        boolean isQuoteServed =
                mDeployment
                        .caller()
                        .postRetryingRefusals(
                                host.gatewayAddress(),
                                "/quotes/builder",
                                Map.of("Authorization", "Bearer " + SharedDeployment.key()),
                                QUOTE)
                        .isCompleteStream();
        boolean isStockServed =
                mDeployment.caller().get(host.gatewayAddress(), "/stock?item=oak").status() == 200;
        return isQuoteServed && isStockServed;
    }
}
