package org.vanillaslip.internal.control.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.messages.LoadedReplica;

/** Describes the replicas of this failure domain to hosts of other failure domains. */
final class LoadedReplicas {

    private final Function<ModelName, List<Replica>> mReplicas;
    private final Function<String, Optional<ServerLoad>> mServerLoads;
    private final Function<String, Optional<String>> mHolders;

    /**
     * Creates descriptions from lookups of replicas by model, loads by server and lease holders by
     * shard.
     */
    LoadedReplicas(
            Function<ModelName, List<Replica>> replicas,
            Function<String, Optional<ServerLoad>> serverLoads,
            Function<String, Optional<String>> holders) {
        mReplicas = replicas;
        mServerLoads = serverLoads;
        mHolders = holders;
    }

    List<LoadedReplica> of(ModelName model) {
        return mReplicas.apply(model).stream().map(this::toMessage).toList();
    }

    private LoadedReplica toMessage(Replica replica) {
        LoadedReplica.Builder message =
                LoadedReplica.newBuilder()
                        .setServer(replica.server().name())
                        .setServerIncarnation(replica.incarnation())
                        .setHolder(mHolders.apply(replica.server().controlShard()).orElse(""));
        mServerLoads
                .apply(replica.server().name())
                .ifPresent(
                        load ->
                                message.setUptimeMillis(load.uptime().toMillis())
                                        .setRunning(load.running())
                                        .setWaiting(load.waiting()));
        return message.build();
    }
}
