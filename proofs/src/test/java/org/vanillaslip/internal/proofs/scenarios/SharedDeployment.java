package org.vanillaslip.internal.proofs.scenarios;

import static org.vanillaslip.internal.proofs.processes.Deployment.await;

import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.Faults;
import org.vanillaslip.internal.proofs.processes.HostProcess;
import org.vanillaslip.internal.proofs.processes.Observations;

/** The deployment of the current feature file; at most one runs at a time. */
public final class SharedDeployment {

    static final String WORKSPACE = "maderas-sol";

    private static final Path LISTS = Path.of("..", "examples", "mostrador.json");

    private static @Nullable Deployment sDeployment;
    private static @Nullable URI sFeature;
    private static String sKey = "";

    /** Starts the deployment before the first scenario of a feature file. */
    @Before(order = 0)
    public static void startForFeature(Scenario scenario) throws IOException {
        if (scenario.getUri().equals(sFeature)) {
            return;
        }
        close();
        Path directory = Files.createTempDirectory("vanillaslip-scenarios");
        System.out.println(scenario.getUri() + ", logs in " + directory);
        sDeployment = Deployment.start(LISTS, directory);
        sFeature = scenario.getUri();
        sKey = addKey();
        deployment().hosts().forEach(SharedDeployment::warmUp);
    }

    /** Removes the scenario's faults, so that the next scenario starts on a whole deployment. */
    @After
    public static void heal() {
        faults().heal();
    }

    /** Stops the last deployment. */
    @AfterAll
    public static void close() {
        if (sDeployment != null) {
            sDeployment.close();
            sDeployment = null;
        }
    }

    static Deployment deployment() {
        return Objects.requireNonNull(sDeployment);
    }

    static Faults faults() {
        return new Faults(deployment());
    }

    static Observations observations() {
        return new Observations(deployment());
    }

    static String key() {
        return sKey;
    }

    static String gateway(String host) {
        return deployment().host(host).gatewayAddress();
    }

    /** Adds a key of the workspace and waits until every host knows it. */
    static String addKey() {
        String output = deployment().operate("keys", "add", WORKSPACE, "--output", "json");
        String key = Observations.json(output).path("key").asText();
        for (HostProcess host : deployment().hosts()) {
            await("the key on " + host.name(), () -> statusWithKey(host, key) != 401);
        }
        return key;
    }

    /** Waits until the quotas of a newly started host, which begin empty, allow a call. */
    private static void warmUp(HostProcess host) {
        await(
                "quota tokens on " + host.name(),
                () ->
                        deployment()
                                        .caller()
                                        .postWithRetry(
                                                host.gatewayAddress(),
                                                "/press-slots",
                                                Map.of("Authorization", "Bearer " + sKey),
                                                "{\"booking_reference\": \"warm-up\"}")
                                        .status()
                                == 200);
    }

    /** Returns the status of a call that is refused for its model when the key is known. */
    static int statusWithKey(HostProcess host, String key) {
        return deployment()
                .caller()
                .post(
                        host.gatewayAddress(),
                        "/quotes/quick",
                        Map.of("Authorization", "Bearer " + key),
                        "{\"model\": \"no-such-model\", \"prompt\": \"\", \"max_tokens\": 1}")
                .status();
    }
}
