package org.vanillaslip.internal.proofs.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.vanillaslip.BackendKind;

/**
 * A small deployment in separate processes: the platform, two hosts for each failure domain, and
 * the backend servers defined in a list file.
 */
public final class Deployment implements AutoCloseable {

    /** Heap limit of a daemon: the control-plane memory that the design allows per node. */
    private static final String HOST_HEAP_LIMIT = "128m";

    private static final String STAND_IN_HEAP_LIMIT = "96m";
    private static final int HOSTS_PER_FAILURE_DOMAIN = 2;
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** One minute in total, far longer than any wait on a busy machine; only a fault exceeds it. */
    private static final int MAX_POLL_ATTEMPTS = 1200;

    private final int mHostsPerFailureDomain;
    private final Path mDirectory;
    private final String mClassPath;
    private final String mPlatformAddress;
    private final HttpCaller mCaller = new HttpCaller();
    private final Map<String, HostProcess> mHosts = new LinkedHashMap<>();
    private final Map<String, JavaProcess> mBackendServers = new LinkedHashMap<>();
    private final Map<String, String> mBackendAddresses = new LinkedHashMap<>();
    private final List<JavaProcess> mProcesses = new ArrayList<>();
    private final ProcessLogs mLogs;
    private int mCommandCount;

    private Deployment(Path directory, String classPath, int hostsPerFailureDomain) {
        mHostsPerFailureDomain = hostsPerFailureDomain;
        mDirectory = directory;
        mClassPath = classPath;
        mPlatformAddress = "127.0.0.1:" + Ports.findFreePort();
        mLogs = new ProcessLogs(directory);
    }

    /** Starts all processes, applies the lists and waits until all hosts are ready. */
    public static Deployment start(Path lists, Path directory) {
        return start(lists, directory, HOSTS_PER_FAILURE_DOMAIN);
    }

    /** Starts a deployment with the given number of hosts in each failure domain. */
    public static Deployment start(Path lists, Path directory, int hostsPerFailureDomain) {
        Deployment deployment =
                new Deployment(
                        directory, System.getProperty("java.class.path"), hostsPerFailureDomain);
        try {
            deployment.startAll(DeploymentLists.read(lists));
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /** Returns the hosts, ordered by failure domain and then by number. */
    public List<HostProcess> hosts() {
        return List.copyOf(mHosts.values());
    }

    /** Returns the host with the given name. */
    public HostProcess host(String name) {
        return Optional.ofNullable(mHosts.get(name)).orElseThrow();
    }

    /** Returns the address of a backend server. */
    public String backendAddress(String name) {
        return Optional.ofNullable(mBackendAddresses.get(name)).orElseThrow();
    }

    /** Returns the process of a backend server. */
    public JavaProcess backendServer(String name) {
        return Optional.ofNullable(mBackendServers.get(name)).orElseThrow();
    }

    /** Returns the names of all backend servers. */
    public List<String> backendServerNames() {
        return List.copyOf(mBackendServers.keySet());
    }

    /** Returns the directory that contains settings, lists and logs. */
    public Path directory() {
        return mDirectory;
    }

    /** Returns the logs of all processes and commands. */
    public ProcessLogs logs() {
        return mLogs;
    }

    /** Returns the address of the platform's object API. */
    public String platformAddress() {
        return mPlatformAddress;
    }

    /** Returns the HTTP client for calls and health probes. */
    public HttpCaller caller() {
        return mCaller;
    }

    /** Runs the operators' command-line tool and returns its output; throws if it fails. */
    public String runSuccessfulCommand(String... arguments) {
        CommandResult outcome = runCommand(arguments);
        if (outcome.exitCode() != 0) {
            throw new IllegalStateException(
                    "the command failed with exit code "
                            + outcome.exitCode()
                            + ":\n"
                            + outcome.output());
        }
        return outcome.output();
    }

    /**
     * Runs the operators' command-line tool and returns its result, whether it succeeds or fails.
     */
    public CommandResult runCommand(String... arguments) {
        JavaProcess process = startCommand(arguments);
        await("the command " + String.join(" ", arguments), () -> !process.isAlive());
        return new CommandResult(process.stop(), process.output());
    }

    /** Starts the operators' command-line tool without waiting for it to exit. */
    public JavaProcess startCommand(String... arguments) {
        List<String> allArguments = new ArrayList<>(List.of(arguments));
        allArguments.add("--platform");
        allArguments.add(mPlatformAddress);
        Path outputDirectory = mDirectory.resolve("commands");
        createDirectory(outputDirectory);
        JavaProcess process =
                JavaProcess.start(
                        "command-" + ++mCommandCount + "-" + arguments[0],
                        mClassPath,
                        MainClassNames.COMMAND_LINE,
                        STAND_IN_HEAP_LIMIT,
                        outputDirectory,
                        allArguments);
        mProcesses.add(process);
        return process;
    }

    /** Restarts a host that was stopped or killed and waits until it is ready. */
    public void restartHost(String name) {
        HostProcess host = host(name);
        mHosts.put(name, host.withProcess(startDaemon(host.name(), host.settingsFile())));
        awaitReady(host);
    }

    /** Polls until the condition holds; throws after a timeout that only a fault can exceed. */
    public static void await(String description, BooleanSupplier condition) {
        for (int i = 0; i < MAX_POLL_ATTEMPTS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            waitForNextPoll();
        }
        throw new IllegalStateException("timed out waiting for " + description);
    }

    @Override
    public void close() {
        for (int i = mProcesses.size() - 1; i >= 0; i--) {
            mProcesses.get(i).close();
        }
    }

    private void startAll(DeploymentLists lists) {
        createDirectory(mDirectory);
        startPlatform();
        List<String> modelMemory = lists.modelMemoryArguments();
        lists.backendServers().forEach(server -> startBackendServer(server, modelMemory));
        lists.failureDomains().forEach(this::prepareHosts);
        Path file = mDirectory.resolve("lists.json");
        lists.write(file);
        runSuccessfulCommand("items", "apply", file.toString());
        mHosts.replaceAll((name, host) -> host.withProcess(startDaemon(name, host.settingsFile())));
        hosts().forEach(this::awaitReady);
    }

    private void startPlatform() {
        int port = Integer.parseInt(mPlatformAddress.substring(mPlatformAddress.indexOf(':') + 1));
        mProcesses.add(
                startStandIn(
                        "platform",
                        MainClassNames.PLATFORM,
                        List.of("--port", Integer.toString(port))));
        await(
                "the platform",
                () -> mCaller.get(mPlatformAddress, "/apis/vanillaslip.org/v1/hosts").status() > 0);
    }

    private void startBackendServer(JsonNode server, List<String> modelMemory) {
        String name = server.path("name").asText();
        String address = server.path("address").asText();
        boolean isEngine =
                server.path("kind").asText().equalsIgnoreCase(BackendKind.MODEL_ENGINE.name());
        List<String> arguments = new ArrayList<>();
        arguments.addAll(List.of("--port", address.substring(address.indexOf(':') + 1)));
        arguments.addAll(List.of("--name", name));
        if (isEngine) {
            arguments.addAll(List.of("--memory-bytes", server.path("memory_bytes").asText()));
            arguments.addAll(modelMemory);
            if (server.path("checks_fencing").asBoolean()) {
                arguments.add("--fencing");
            }
        }
        JavaProcess process =
                startStandIn(
                        name, isEngine ? MainClassNames.ENGINE : MainClassNames.SERVICE, arguments);
        mProcesses.add(process);
        mBackendServers.put(name, process);
        mBackendAddresses.put(name, address);
        String statusPath = isEngine ? "/v1/status" : "/status";
        await(name, () -> mCaller.get(address, statusPath).status() == 200);
    }

    private void prepareHosts(String failureDomain) {
        for (int i = 1; i <= mHostsPerFailureDomain; i++) {
            String name = "host-" + failureDomain + i;
            String gateway = "127.0.0.1:" + Ports.findFreePort();
            String peer = "127.0.0.1:" + Ports.findFreePort();
            Path settings = mDirectory.resolve(name + ".ini");
            writeSettings(settings, name, failureDomain, gateway, peer);
            registerHost(name, failureDomain, peer);
            JavaProcess placeholder = mProcesses.get(0);
            mHosts.put(
                    name,
                    new HostProcess(name, failureDomain, gateway, peer, settings, placeholder));
        }
    }

    private void registerHost(String name, String failureDomain, String peer) {
        String object =
                """
                {"metadata": {"name": "%s"},
                 "spec": {"failureDomain": "%s", "peerAddress": "%s", "leaving": false}}
                """
                        .formatted(name, failureDomain, peer);
        mCaller.post(mPlatformAddress, "/apis/vanillaslip.org/v1/hosts", Map.of(), object);
    }

    private void writeSettings(
            Path file, String name, String failureDomain, String gateway, String peer) {
        String settings =
                """
                [host]
                name = %s
                failure_domain = %s
                gateway_address = %s
                peer_address = %s
                shutdown_delay_seconds = 1
                shutdown_timeout_seconds = 10

                [platform]
                address = %s

                [log]
                format = plain
                """
                        .formatted(name, failureDomain, gateway, peer, mPlatformAddress);
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private JavaProcess startDaemon(String name, Path settings) {
        JavaProcess process =
                JavaProcess.start(
                        name,
                        mClassPath,
                        MainClassNames.DAEMON,
                        HOST_HEAP_LIMIT,
                        mDirectory,
                        List.of("--config", settings.toString()));
        mProcesses.add(process);
        return process;
    }

    private JavaProcess startStandIn(String name, String mainClass, List<String> arguments) {
        return JavaProcess.start(
                name, mClassPath, mainClass, STAND_IN_HEAP_LIMIT, mDirectory, arguments);
    }

    private void awaitReady(HostProcess host) {
        await(
                host.name() + " to be ready",
                () -> mCaller.get(host.gatewayAddress(), "/readyz").status() == 200);
    }

    private static void createDirectory(Path directory) {
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void waitForNextPoll() {
        Executor delayed =
                CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, delayed).join();
    }
}
