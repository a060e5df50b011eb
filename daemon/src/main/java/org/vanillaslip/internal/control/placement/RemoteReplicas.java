package org.vanillaslip.internal.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.messages.LoadedReplica;

/** Replicas in other failure domains, as recently described by their hosts. */
final class RemoteReplicas {

    /**
     * This host does not poll servers of other domains, so their replicas have to be requested
     * again.
     */
    private static final long VALIDITY_NANOS = Duration.ofSeconds(5).toNanos();

    private final Function<String, Optional<BackendServer>> mServers;
    private final ServerLoadTable mServerLoads;
    private final Map<ModelName, Entry> mEntries = new HashMap<>();
    private final Map<String, String> mHolders = new HashMap<>();

    RemoteReplicas(Function<String, Optional<BackendServer>> servers, ServerLoadTable serverLoads) {
        mServers = servers;
        mServerLoads = serverLoads;
    }

    List<Replica> replicas(ModelName model, long nowNanos) {
        Entry entry = mEntries.get(model);
        return entry == null || nowNanos - entry.requestedNanos() >= VALIDITY_NANOS
                ? List.of()
                : entry.replicas();
    }

    Optional<String> holder(String shard) {
        return Optional.ofNullable(mHolders.get(shard));
    }

    /** Stores descriptions; their validity starts when the request was sent. */
    void put(ModelName model, List<LoadedReplica> descriptions, long requestedNanos) {
        List<Replica> replicas = new ArrayList<>();
        for (LoadedReplica replica : descriptions) {
            mServers.apply(replica.getServer())
                    .ifPresent(
                            server ->
                                    replicas.add(
                                            recordReplica(model, replica, server, requestedNanos)));
        }
        mEntries.put(model, new Entry(List.copyOf(replicas), requestedNanos));
    }

    void removeExpired(long nowNanos) {
        mEntries.values().removeIf(entry -> nowNanos - entry.requestedNanos() >= VALIDITY_NANOS);
    }

    private Replica recordReplica(
            ModelName model, LoadedReplica replica, BackendServer server, long requestedNanos) {
        mServerLoads.put(
                new ServerSummary(
                        server.name(),
                        replica.getServerIncarnation(),
                        replica.getUptimeMillis(),
                        replica.getRunning(),
                        replica.getWaiting(),
                        replica.getAgeMillis()),
                requestedNanos);
        if (!replica.getHolder().isEmpty()) {
            mHolders.put(server.controlShard(), replica.getHolder());
        }
        return new Replica(server, replica.getServerIncarnation(), model);
    }

    private record Entry(List<Replica> replicas, long requestedNanos) {}
}
