package org.vanillaslip.internal.standins.engine;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Runs a stand-in model engine as a process and prints its address on standard output. */
@Command(name = "engine", description = "Stand-in for a model engine")
public final class EngineStandIn {

    @Option(name = "--port", description = "Port on 127.0.0.1; 0 takes a free one")
    int mPort;

    @Option(name = "--name", description = "Name of the server")
    String mName = "engine";

    @Option(name = "--memory-bytes", description = "Memory for models and adapters")
    long mMemoryBytes = 80_000_000_000L;

    @Option(name = "--fencing", description = "Refuse orders with an old term")
    boolean mFencing;

    @Option(name = "--token-millis", description = "Time between two tokens")
    long mTokenMillis = 20;

    @Option(name = "--status-lag-millis", description = "Age of the reported load figures")
    long mStatusLagMillis = 500;

    @Option(name = "--capacity", description = "Most requests at the same time")
    int mCapacity = 64;

    @Option(name = "--model-bytes", description = "Memory of a model")
    long mModelBytes = 10_000_000_000L;

    @Option(name = "--adapter-bytes", description = "Memory of an adapter")
    long mAdapterBytes = 100_000_000L;

    @Option(name = "--memory-of", description = "name=bytes for one model; may be repeated")
    List<String> mMemoryOf = new ArrayList<>();

    @Option(name = "--load-millis-memory", description = "Load time from memory")
    long mLoadMillisMemory = 300;

    @Option(name = "--load-millis-disk", description = "Load time from disk")
    long mLoadMillisDisk = 1_500;

    @Option(name = "--load-millis-remote", description = "Load time from the weight store")
    long mLoadMillisRemote = 4_000;

    @Option(name = "--load-millis-adapter", description = "Load time of an adapter")
    long mLoadMillisAdapter = 10;

    /** Starts the server and runs until the process is terminated. */
    public static void main(String[] arguments) {
        EngineStandIn options = SingleCommand.singleCommand(EngineStandIn.class).parse(arguments);
        try (EngineServer server = EngineServer.start(options.settings(), System::nanoTime)) {
            System.out.println(server.address());
            server.awaitClose();
        }
    }

    private EngineSettings settings() {
        Map<String, Long> memory =
                mMemoryOf.stream()
                        .map(entry -> entry.split("=", 2))
                        .collect(
                                Collectors.toMap(
                                        nameAndBytes -> nameAndBytes[0],
                                        nameAndBytes -> Long.parseLong(nameAndBytes[1])));
        return new EngineSettings(
                mName,
                mPort,
                mMemoryBytes,
                mFencing,
                Duration.ofMillis(mTokenMillis),
                Duration.ofMillis(mStatusLagMillis),
                mCapacity,
                mModelBytes,
                mAdapterBytes,
                memory,
                new EngineLoadTimes(
                        Duration.ofMillis(mLoadMillisMemory),
                        Duration.ofMillis(mLoadMillisDisk),
                        Duration.ofMillis(mLoadMillisRemote),
                        Duration.ofMillis(mLoadMillisAdapter)));
    }
}
