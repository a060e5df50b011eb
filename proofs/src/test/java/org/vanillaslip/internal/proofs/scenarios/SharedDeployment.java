package org.vanillaslip.internal.proofs.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.proofs.processes.Deployment;
import org.vanillaslip.internal.proofs.processes.DeploymentObserver;
import org.vanillaslip.internal.proofs.processes.FaultInjector;
import org.vanillaslip.internal.proofs.processes.HostProcess;

/** The deployment that all scenarios of a feature file share, one per thread. */
public final class SharedDeployment {

    static final String WORKSPACE = "maderas-sol";

    private static final Path LISTS_FILE = Path.of("..", "examples", "mostrador.json");

    /** Feature files run in parallel, each on a single thread. */
    private static final ThreadLocal<FeatureState> CURRENT_FEATURE =
            ThreadLocal.withInitial(FeatureState::new);

    private static final Set<FeatureState> OPEN_FEATURES = ConcurrentHashMap.newKeySet();

    /** The deployment and the key of one feature file. */
    private static final class FeatureState {
        private @Nullable Deployment mDeployment;
        private @Nullable URI mUri;
        private String mKey = "";

        private void close() {
            OPEN_FEATURES.remove(this);
            if (mDeployment != null) {
                Deployment deployment = mDeployment;
                mDeployment = null;
                deployment.close();
                assertThat(deployment.logs().readNewFaults())
                        .as("faults in the logs after the last scenario of " + mUri)
                        .isEmpty();
            }
        }
    }

    /** Starts a new deployment before the first scenario of each feature file. */
    @Before(order = 0)
    public static void startForFeature(Scenario scenario) throws IOException {
        FeatureState feature = CURRENT_FEATURE.get();
        if (scenario.getUri().equals(feature.mUri)) {
            return;
        }
        feature.close();
        Path directory = Files.createTempDirectory("vanillaslip-scenarios");
        System.out.println(scenario.getUri() + ", logs in " + directory);
        OPEN_FEATURES.add(feature);
        feature.mDeployment = Deployment.start(LISTS_FILE, directory);
        feature.mUri = scenario.getUri();
        feature.mKey = addKey();
        deployment().hosts().forEach(SharedDeployment::awaitQuota);
    }

    /** Removes the faults of the scenario, so that the next one starts on a healthy deployment. */
    @After
    public static void removeFaults() {
        faultInjector().removeAll();
    }

    /** Fails a scenario in which a process logged an error or a stack trace. */
    @After(order = 0)
    public static void checkLogs() {
        assertThat(deployment().logs().readNewFaults()).as("faults in the logs").isEmpty();
    }

    /** Stops the remaining deployment of each thread. */
    @AfterAll
    public static void close() {
        Set.copyOf(OPEN_FEATURES).forEach(FeatureState::close);
    }

    /** Runs the action on another thread with the deployment of the current thread. */
    static <T> CompletableFuture<T> runAsync(Supplier<T> action) {
        FeatureState feature = CURRENT_FEATURE.get();
        return CompletableFuture.supplyAsync(
                () -> {
                    CURRENT_FEATURE.set(feature);
                    try {
                        return action.get();
                    } finally {
                        CURRENT_FEATURE.remove();
                    }
                });
    }

    static Deployment deployment() {
        return Objects.requireNonNull(CURRENT_FEATURE.get().mDeployment);
    }

    static FaultInjector faultInjector() {
        return new FaultInjector(deployment());
    }

    static DeploymentObserver observer() {
        return new DeploymentObserver(deployment());
    }

    static String key() {
        return CURRENT_FEATURE.get().mKey;
    }

    static String gatewayAddress(String host) {
        return deployment().host(host).gatewayAddress();
    }

    /** Adds a key of the workspace and waits until each host accepts it. */
    static String addKey() {
        String output =
                deployment().runSuccessfulCommand("keys", "add", WORKSPACE, "--output", "json");
        String key = DeploymentObserver.parseJson(output).path("key").asText();
        for (HostProcess host : deployment().hosts()) {
            await("the key on " + host.name(), () -> statusWithKey(host, key) != 401);
        }
        return key;
    }

    /** Waits until a new host admits a call, since its quotas are empty at the start. */
    private static void awaitQuota(HostProcess host) {
        await(
                "quota tokens on " + host.name(),
                () ->
                        deployment()
                                        .caller()
                                        .postRetryingQuota(
                                                host.gatewayAddress(),
                                                "/press-slots",
                                                Map.of("Authorization", "Bearer " + key()),
                                                "{\"booking_reference\": \"warm-up\"}")
                                        .status()
                                == 200);
    }

    /**
     * Returns the status of a call for an unknown model: 401 if the host does not accept the key.
     */
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
