package org.vanillaslip.internal.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.vanillaslip.BackendServer;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.messages.SlotRequest;

/** The slot ledgers of the backend servers whose control shards this host holds. */
final class SlotLedgers {

    private final String mHost;
    private final MonotonicClock mClock;
    private final PlacementView mPlacement;
    private final long mValidityNanos;
    private final LongSupplier mSlotIds;
    private final Map<String, Long> mOwnedSince = new HashMap<>();
    private final Map<String, ServerLedger> mLedgers = new HashMap<>();

    SlotLedgers(
            String host,
            MonotonicClock clock,
            PlacementView placement,
            long validityNanos,
            LongSupplier slotIds) {
        mHost = host;
        mClock = clock;
        mPlacement = placement;
        mValidityNanos = validityNanos;
        mSlotIds = slotIds;
    }

    /**
     * Returns whether this host holds the lease of the shard. Records when it acquired the lease,
     * and drops the ledgers of the shard after it lost the lease.
     */
    boolean updateOwnership(String shard) {
        boolean owner = mPlacement.holder(shard).filter(mHost::equals).isPresent();
        if (owner) {
            mOwnedSince.putIfAbsent(shard, mClock.nowNanos());
        } else {
            mOwnedSince.remove(shard);
            mLedgers.values().removeIf(ledger -> ledger.shard().equals(shard));
        }
        return owner;
    }

    /** Applies the request and returns the ids of the newly granted slots. */
    List<Long> apply(BackendServer server, SlotRequest request) {
        if (!updateOwnership(server.controlShard())) {
            return List.of();
        }
        Optional<ServerLoad> load =
                mPlacement
                        .load(server.name())
                        .filter(
                                reported ->
                                        matchesIncarnation(
                                                reported, request.getServerIncarnation()));
        if (load.isEmpty()) {
            return List.of();
        }
        long now = mClock.nowNanos();
        ConcurrencyLedger ledger = ledger(server, load.get(), now);
        ledger.release(request.getReleaseList());
        ledger.renew(request.getRenewList(), now);
        int running = load.get().running() + load.get().waiting();
        return ledger.acquire(request.getAcquire(), running, now);
    }

    /** A host of another failure domain has no report of the server and sends no incarnation. */
    private static boolean matchesIncarnation(ServerLoad load, String incarnation) {
        return incarnation.isEmpty() || incarnation.equals(load.incarnation());
    }

    private ConcurrencyLedger ledger(BackendServer server, ServerLoad load, long now) {
        ServerLedger known = mLedgers.get(server.name());
        if (known != null && known.incarnation().equals(load.incarnation())) {
            return known.ledger();
        }
        ConcurrencyLedger ledger =
                new ConcurrencyLedger(
                        server.slowStart(),
                        now - load.uptime().toNanos(),
                        mOwnedSince.getOrDefault(server.controlShard(), now),
                        mValidityNanos,
                        mSlotIds);
        mLedgers.put(
                server.name(), new ServerLedger(server.controlShard(), load.incarnation(), ledger));
        return ledger;
    }
}
