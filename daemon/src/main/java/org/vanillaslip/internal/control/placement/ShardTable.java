package org.vanillaslip.internal.control.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.placement.ShardSelection;

/** The control shards of this failure domain and their runtimes on this host. */
final class ShardTable {

    private final ShardContexts mContexts;
    private final Function<String, ShardRuntime> mFactory;
    private final Map<String, ShardRuntime> mShards = new HashMap<>();

    /** Creates an empty table; the factory creates the runtime of a shard on first use. */
    ShardTable(ShardContexts contexts, Function<String, ShardRuntime> factory) {
        mContexts = contexts;
        mFactory = factory;
    }

    ShardRuntime getOrCreate(String shard) {
        return mShards.computeIfAbsent(shard, mFactory);
    }

    Optional<ShardRuntime> find(String shard) {
        return Optional.ofNullable(mShards.get(shard));
    }

    void forEach(BiConsumer<String, ShardRuntime> action) {
        mShards.forEach(action);
    }

    boolean holdsNoLease() {
        return mShards.values().stream().noneMatch(ShardRuntime::holdsLease);
    }

    /** Returns the name of the shard that loads the model in this failure domain. */
    Optional<String> shardOf(ModelName name) {
        return mContexts
                .configuration()
                .flatMap(
                        configuration ->
                                model(name)
                                        .flatMap(
                                                model ->
                                                        ShardSelection.of(
                                                                configuration,
                                                                mContexts.domain(),
                                                                model)));
    }

    /**
     * Returns the shard that loads the model in this failure domain if it has a server in service.
     */
    Optional<String> usableShardOf(ModelName name) {
        return shardOf(name)
                .filter(
                        shard ->
                                mContexts.configuration().stream()
                                        .anyMatch(
                                                configuration ->
                                                        hasServerInService(configuration, shard)));
    }

    private static boolean hasServerInService(Configuration configuration, String shard) {
        return configuration.backendServers().values().stream()
                .filter(server -> server.controlShard().equals(shard))
                .anyMatch(server -> !configuration.isDrained(server));
    }

    Optional<Model> model(ModelName name) {
        return mContexts
                .configuration()
                .flatMap(
                        configuration ->
                                Optional.ofNullable(configuration.models().get(name.model())));
    }

    Optional<BackendServer> server(String name) {
        return mContexts
                .configuration()
                .flatMap(
                        configuration ->
                                Optional.ofNullable(configuration.backendServers().get(name)));
    }
}
