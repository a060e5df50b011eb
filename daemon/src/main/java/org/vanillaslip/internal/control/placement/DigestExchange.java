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
    private final PlacementJsonCodec mCodec;
    private final ServerLoadTable mServerLoads;
    private final Map<String, Long> mReceivedNanos = new HashMap<>();

    DigestExchange(
            PeerLinks peers,
            ShardContexts contexts,
            PlacementJsonCodec codec,
            ServerLoadTable serverLoads) {
        mPeers = peers;
        mContexts = contexts;
        mCodec = codec;
        mServerLoads = serverLoads;
    }

    /**
     * Sends the server loads to the other hosts of the failure domain, and the record to those that
     * have not confirmed this version.
     */
    void publish(
            String shard,
            long version,
            ShardRecord record,
            Predicate<String> confirmed,
            long nowNanos) {
        List<ServerSummary> servers = mServerLoads.summaries(serversOfShard(shard), nowNanos);
        PlacementDigest withRecord = digest(shard, version, new DigestBody(record, servers));
        PlacementDigest heartbeat = digest(shard, version, new DigestBody(null, servers));
        for (String host : mContexts.peers()) {
            PlacementDigest digest = confirmed.test(host) ? heartbeat : withRecord;
            mPeers.send(host, Envelope.newBuilder().setPlacementDigest(digest));
        }
    }

    private PlacementDigest digest(String shard, long version, DigestBody body) {
        return PlacementDigest.newBuilder()
                .setShard(shard)
                .setVersion(version)
                .setRecordJson(mCodec.write(body))
                .build();
    }

    /**
     * Reads a digest and stores its server loads; returns empty for a confirmation or an unreadable
     * digest.
     */
    Optional<DigestBody> receive(PlacementDigest digest, long nowNanos) {
        Optional<DigestBody> body = mCodec.readDigest(digest.getRecordJson());
        body.ifPresent(
                content -> {
                    mReceivedNanos.put(digest.getShard(), nowNanos);
                    content.servers().forEach(summary -> mServerLoads.put(summary, nowNanos));
                });
        return body;
    }

    /**
     * Confirms to the holder the version on which this host acts, so that the offline placement set
     * can shrink and the record is not sent again.
     */
    void sendConfirmation(String holder, String shard, long version) {
        PlacementDigest confirmation =
                PlacementDigest.newBuilder()
                        .setShard(shard)
                        .setVersion(version)
                        .setRecordJson(ByteString.EMPTY)
                        .build();
        mPeers.send(holder, Envelope.newBuilder().setPlacementDigest(confirmation));
    }

    /** Returns the time since the last digest of the shard, or the maximum if there was none. */
    long silentNanos(String shard, long nowNanos) {
        Long receivedNanos = mReceivedNanos.get(shard);
        return receivedNanos == null ? Long.MAX_VALUE : nowNanos - receivedNanos;
    }

    private List<String> serversOfShard(String shard) {
        return mContexts.configuration().stream()
                .flatMap(configuration -> configuration.backendServers().values().stream())
                .filter(server -> server.controlShard().equals(shard))
                .map(BackendServer::name)
                .toList();
    }
}
