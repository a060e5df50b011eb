package org.vanillaslip.internal.control.placement;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PlacementDigest;

/** Sends and receives placement digests between the hosts of a failure domain. */
final class DigestExchange {

    private final PeerLinks mPeers;
    private final ShardContexts mContexts;
    private final RecordJson mJson;
    private final LoadTable mLoads;
    private final Map<String, Long> mHeardNanos = new HashMap<>();

    DigestExchange(PeerLinks peers, ShardContexts contexts, RecordJson json, LoadTable loads) {
        mPeers = peers;
        mContexts = contexts;
        mJson = json;
        mLoads = loads;
    }

    /** Sends the record and the servers' loads to the other hosts of the domain. */
    void publish(String shard, long version, ShardRecord record, long nowNanos) {
        DigestBody body = new DigestBody(record, mLoads.summaries(servers(shard), nowNanos));
        PlacementDigest digest =
                PlacementDigest.newBuilder()
                        .setShard(shard)
                        .setVersion(version)
                        .setRecordJson(mJson.write(body))
                        .build();
        for (String host : mContexts.peers()) {
            mPeers.send(host, Envelope.newBuilder().setPlacementDigest(digest));
        }
    }

    /** Reads a digest and notes its load figures; empty for a confirmation. */
    Optional<ShardRecord> receive(PlacementDigest digest, long nowNanos) {
        Optional<DigestBody> body = mJson.readDigest(digest.getRecordJson());
        body.ifPresent(
                content -> {
                    mHeardNanos.put(digest.getShard(), nowNanos);
                    content.servers().forEach(summary -> mLoads.put(summary, nowNanos));
                });
        return body.map(DigestBody::record);
    }

    /** Tells the holder that this host acts on the version, so that its offline set can shrink. */
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
