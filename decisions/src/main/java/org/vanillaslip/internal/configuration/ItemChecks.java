package org.vanillaslip.internal.configuration;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Pattern;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.Route;
import org.vanillaslip.WorkspaceEntry;

/** Checks the field values of each item independently of other items. */
final class ItemChecks {

    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IP_AND_PORT = Pattern.compile("\\S+:[0-9]{1,5}");

    /**
     * Longer durations are probably typing errors, and sums of their nanoseconds could overflow.
     */
    private static final Duration MAX_DURATION = Duration.ofDays(1);

    private final FaultCollector mCollector;

    ItemChecks(FaultCollector collector) {
        mCollector = collector;
    }

    void check(Configuration configuration) {
        configuration.plans().values().forEach(this::checkPlan);
        configuration.workspaces().values().forEach(this::checkWorkspace);
        configuration.routes().values().forEach(this::checkRoute);
        configuration.models().values().forEach(this::checkModel);
        configuration.backendServers().values().forEach(this::checkBackendServer);
    }

    private void checkPlan(Plan plan) {
        long rate = plan.tokensPerSecond();
        long burst = plan.burstTokens();
        mCollector.require(rate >= 0, plan, "tokensPerSecond", rate, "0 or more");
        mCollector.require(burst >= 0, plan, "burstTokens", burst, "0 or more");
        for (String adapter : plan.adapters()) {
            mCollector.require(!adapter.isBlank(), plan, "adapters", adapter, "a name");
        }
    }

    private void checkWorkspace(WorkspaceEntry workspace) {
        for (String digest : workspace.keyDigests()) {
            boolean accepted = SHA256_HEX.matcher(digest).matches();
            // The fault omits the malformed digest, because it may be a plain key.
            mCollector.require(
                    accepted,
                    workspace,
                    "keyDigests",
                    "(" + digest.length() + " characters)",
                    "64 lower-case hexadecimal digits, the SHA-256 digest of the key");
        }
    }

    private void checkRoute(Route route) {
        mCollector.require(
                route.name().startsWith("/"),
                route,
                "name",
                route.name(),
                "a path that starts with '/'");
        Duration deadline = route.deadline();
        boolean accepted = !deadline.isZero() && isInRange(deadline);
        mCollector.require(
                accepted, route, "deadline", deadline, "more than 0, at most " + MAX_DURATION);
    }

    private void checkModel(Model model) {
        long memory = model.memoryBytes();
        long adapterMemory = model.adapterMemoryBytes();
        mCollector.require(
                !model.name().contains(":"), model, "name", model.name(), "a name without ':'");
        mCollector.require(!model.version().isBlank(), model, "version", model.version(), "a name");
        mCollector.require(memory > 0, model, "memoryBytes", memory, "more than 0");
        mCollector.require(
                adapterMemory >= 0, model, "adapterMemoryBytes", adapterMemory, "0 or more");
        long sum = 0;
        for (Map.Entry<String, Integer> replicas : model.replicas().entrySet()) {
            int count = replicas.getValue();
            mCollector.require(
                    count >= 0, model, "replicas." + replicas.getKey(), count, "0 or more");
            sum += count;
        }
        mCollector.require(
                sum <= Integer.MAX_VALUE, model, "replicas", sum, "at most " + Integer.MAX_VALUE);
        checkLoadTime(model, "fromMemory", model.loadTimes().fromMemory());
        checkLoadTime(model, "fromDisk", model.loadTimes().fromDisk());
        checkLoadTime(model, "fromRemote", model.loadTimes().fromRemote());
    }

    private void checkLoadTime(Model model, String field, Duration time) {
        mCollector.require(
                isInRange(time), model, "loadTimes." + field, time, "0 to " + MAX_DURATION);
    }

    private void checkBackendServer(BackendServer server) {
        long memory = server.memoryBytes();
        int accelerators = server.accelerators();
        String address = server.address();
        mCollector.require(
                IP_AND_PORT.matcher(address).matches(), server, "address", address, "ip:port");
        mCollector.require(memory >= 0, server, "memoryBytes", memory, "0 or more");
        mCollector.require(accelerators >= 0, server, "accelerators", accelerators, "0 or more");
        int initial = server.slowStart().initialConcurrency();
        int full = server.slowStart().fullConcurrency();
        Duration ramp = server.slowStart().ramp();
        mCollector.require(
                initial > 0, server, "slowStart.initialConcurrency", initial, "more than 0");
        mCollector.require(
                full >= initial,
                server,
                "slowStart.fullConcurrency",
                full,
                "at least initialConcurrency (" + initial + ")");
        mCollector.require(isInRange(ramp), server, "slowStart.ramp", ramp, "0 to " + MAX_DURATION);
    }

    private static boolean isInRange(Duration duration) {
        return !duration.isNegative() && duration.compareTo(MAX_DURATION) <= 0;
    }
}
