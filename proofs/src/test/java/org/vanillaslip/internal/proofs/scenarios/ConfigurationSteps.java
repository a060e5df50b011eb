package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.proofs.processes.CommandOutcome;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.HostProcess;
import org.vanillaslip.internal.proofs.processes.JavaProcess;
import org.vanillaslip.internal.proofs.processes.Observations;

/** Steps about the operators' lists and drains. */
public final class ConfigurationSteps {

    private static final String QUOTE =
            "{\"model\": \"edge-quote\", \"prompt\": \"shelf\", \"max_tokens\": 4,"
                    + " \"stream\": true}";

    private final Deployment mDeployment = SharedDeployment.deployment();
    private final Observations mObservations = SharedDeployment.observations();
    private String mKey = "";
    private List<CommandOutcome> mRace = List.of();

    /** Sends rounds until one reaches the server. */
    @Given("new work reaches {string}")
    public void reaches(String server) {
        int before = mObservations.callsTo(server);
        await(
                "work on " + server,
                () -> {
                    readyHosts().forEach(this::serve);
                    return mObservations.callsTo(server) > before;
                });
    }

    /** Waits until the change is in force on all hosts. */
    @When("every host has the platform's configuration")
    public void inForce() {
        long version = mObservations.configurationVersion();
        for (HostProcess host : mDeployment.hosts()) {
            await(
                    "version " + version + " on " + host.name(),
                    () -> mObservations.configurationVersion(host) >= version);
        }
    }

    /** Checks that requests go on elsewhere. */
    @Then("{int} rounds of requests are served and none reaches {string}")
    public void avoids(int rounds, String server) {
        int before = mObservations.callsTo(server);
        assertThat(readyHosts()).isNotEmpty();
        for (int i = 0; i < rounds; i++) {
            for (HostProcess host : readyHosts()) {
                assertThat(serve(host)).as(host.name()).isTrue();
            }
        }
        assertThat(mObservations.callsTo(server)).isEqualTo(before);
    }

    /** Checks the readiness that the load balancer reads. */
    @Then("the hosts of failure domain {string} are not ready")
    public void notReady(String failureDomain) {
        assertThat(readyHosts()).noneMatch(host -> host.failureDomain().equals(failureDomain));
    }

    /** Freezes a host. */
    @Given("the host {string} is frozen")
    public void freeze(String host) {
        mDeployment.host(host).process().freeze();
    }

    /** Adds a key without waiting for the hosts. */
    @When("the operator adds a key")
    public void addKey() {
        String output =
                mDeployment.operate("keys", "add", SharedDeployment.WORKSPACE, "--output", "json");
        mKey = Observations.json(output).path("key").asText();
    }

    /** Withdraws the key added before. */
    @When("the operator withdraws the added key")
    public void withdrawKey() {
        mDeployment.operate("keys", "withdraw", SharedDeployment.WORKSPACE, mKey);
    }

    /** Checks one host. */
    @Then("the host {string} accepts the added key")
    public void accepts(String host) {
        HostProcess process = mDeployment.host(host);
        await("the key on " + host, () -> SharedDeployment.statusWithKey(process, mKey) != 401);
    }

    /** Checks that all hosts refuse the key and that none accepts it again. */
    @Then("every host refuses the added key in {int} further rounds")
    public void refuses(int rounds) {
        inForce();
        for (int i = 0; i < rounds; i++) {
            for (HostProcess host : mDeployment.hosts()) {
                assertThat(SharedDeployment.statusWithKey(host, mKey))
                        .as(host.name())
                        .isEqualTo(401);
            }
        }
    }

    /**
     * Lets two operators change the same item. A slow platform widens the window between their read
     * and their write; the race is run again while they miss each other.
     */
    @When("two operators change the same workspace at the same time")
    public void race() {
        SharedDeployment.faults().platform("{\"latencyMillis\": 1000}");
        await(
                "a conflict",
                () -> {
                    List<JavaProcess> operators = List.of(startKeyCommand(), startKeyCommand());
                    operators.forEach(o -> await(o.name(), () -> !o.isAlive()));
                    mRace =
                            operators.stream()
                                    .map(o -> new CommandOutcome(o.stop(), o.output()))
                                    .toList();
                    return mRace.stream().anyMatch(o -> o.exitCode() != 0);
                });
        SharedDeployment.faults().heal();
    }

    /** Checks exit codes and the text of the loser. */
    @Then("one change succeeds and the other ends with exit code 3 and names both versions")
    public void conflict() {
        assertThat(mRace).extracting(CommandOutcome::exitCode).containsExactlyInAnyOrder(0, 3);
        CommandOutcome loser =
                mRace.stream().filter(o -> o.exitCode() == 3).findFirst().orElseThrow();
        assertThat(loser.output()).containsPattern("(?s)version \\d+.*version \\d+");
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

    private boolean serve(HostProcess host) {
        boolean quote =
                mDeployment
                        .caller()
                        .postUntilServed(
                                host.gatewayAddress(),
                                "/quotes/builder",
                                Map.of("Authorization", "Bearer " + SharedDeployment.key()),
                                QUOTE)
                        .isCompleteStream();
        boolean stock =
                mDeployment.caller().get(host.gatewayAddress(), "/stock?item=oak").status() == 200;
        return quote && stock;
    }
}
