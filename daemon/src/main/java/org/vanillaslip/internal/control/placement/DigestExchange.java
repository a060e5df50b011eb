package org.vanillaslip.internal.control.placement;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PlacementDigest;

/** Sends and receives placement digests between the hosts of a failure domain. */
final class DigestExchange {

    private final PeerLinks mPeers;
    private final ShardContexts mContexts;
    private final PlacementJsonCodec mJson;
    private final ServerLoadTable mLoads;
    private final Map<String, Long> mHeardNanos = new HashMap<>();

    DigestExchange(
            PeerLinks peers,
            ShardContexts contexts,
            PlacementJsonCodec json,
            ServerLoadTable loads) {
        mPeers = peers;
        mContexts = contexts;
        mJson = json;
        mLoads = loads;
    }

    /**
     * Sends the servers' loads to the other hosts of the domain, and the record to those that have
     * not confirmed this version.
     */
    void publish(
            String shard,
            long version,
            ShardRecord record,
            Predicate<String> confirmed,
            long nowNanos) {
        List<ServerSummary> servers = mLoads.summaries(servers(shard), nowNanos);
        PlacementDigest full = digest(shard, version, new DigestBody(record, servers));
        PlacementDigest heartbeat = digest(shard, version, new DigestBody(null, servers));
        for (String host : mContexts.peers()) {
            PlacementDigest digest = confirmed.test(host) ? heartbeat : full;
            mPeers.send(host, Envelope.newBuilder().setPlacementDigest(digest));
        }
    }

    private PlacementDigest digest(String shard, long version, DigestBody body) {
        return PlacementDigest.newBuilder()
                .setShard(shard)
                .setVersion(version)
                .setRecordJson(mJson.write(body))
                .build();
    }

    /** Reads a digest and notes its load figures; empty for a confirmation. */
    Optional<DigestBody> receive(PlacementDigest digest, long nowNanos) {
        Optional<DigestBody> body = mJson.readDigest(digest.getRecordJson());
        body.ifPresent(
                content -> {
                    mHeardNanos.put(digest.getShard(), nowNanos);
                    content.servers().forEach(summary -> mLoads.put(summary, nowNanos));
                });
        return body;
    }

    /**
     * Tells the holder which version this host acts on, so that its offline set can shrink and the
     * record is not sent again.
     */
    void confirm(String holder, String shard, long version) {
        PlacementDigest confirmation =
                PlacementDigest.newBuilder()
                        .setShard(shard)
                        .setVersion(version)
                        .setRecordJson(ByteString.EMPTY)
                        .build();
        mPeers.send(holder, Envelope.newBuilder().setPlacementDigest(confirmation));
    }

    /** Returns the time since the last digest of the shard. */
    long silentNanos(String shard, long nowNanos) {
        Long heard = mHeardNanos.get(shard);
        return heard == null ? Long.MAX_VALUE : nowNanos - heard;
    }

    private List<String> servers(String shard) {
        return mContexts.configuration().stream()
                .flatMap(configuration -> configuration.backendServers().values().stream())
                .filter(server -> server.controlShard().equals(shard))
                .map(BackendServer::name)
                .toList();
    }
}
