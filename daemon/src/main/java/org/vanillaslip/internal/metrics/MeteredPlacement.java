package org.vanillaslip.internal.metrics;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Times cold starts as the requests of this host see them; used on the decision loop only. */
public final class MeteredPlacement implements PlacementView {

    /**
     * Waiting requests ask again when their expected wait has passed. After this time without a
     * question nobody waits any more, and a later load is no cold start of theirs.
     */
    private static final long WAIT_EXPIRY_NANOS = Duration.ofMinutes(10).toNanos();

    private final PlacementView mPlacement;
    private final MonotonicClock mClock;
    private final DaemonMetrics mMetrics;
    private final Map<ModelName, ColdStartWait> mColdStartWaits = new HashMap<>();

    /** Creates a view that times the activations of the given one. */
    public MeteredPlacement(PlacementView placement, MonotonicClock clock, DaemonMetrics metrics) {
        mPlacement = placement;
        mClock = clock;
        mMetrics = metrics;
        placement.changes().subscribe(this::onChange);
    }

    @Override
    public List<Replica> replicas(ModelName model) {
        return mPlacement.replicas(model);
    }

    @Override
    public Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        // A full or drained replica makes requests wait too, but not for a load from cold.
        if (mPlacement.replicas(model).isEmpty()) {
            long now = mClock.nowNanos();
            mColdStartWaits.values().removeIf(open -> open.isExpired(now));
            mColdStartWaits.merge(
                    model,
                    new ColdStartWait(now, now),
                    (open, asked) -> new ColdStartWait(open.firstRequestAt(), now));
        }
        return mPlacement.activate(model, wait);
    }

    @Override
    public void withdraw(ModelName model) {
        mPlacement.withdraw(model);
    }

    @Override
    public void recordArrival(ModelName model) {
        mPlacement.recordArrival(model);
    }

    @Override
    public Flux<ModelName> changes() {
        return mPlacement.changes();
    }

    @Override
    public Optional<ServerLoad> load(String server) {
        return mPlacement.load(server);
    }

    @Override
    public Optional<String> holder(String shard) {
        return mPlacement.holder(shard);
    }

    private void onChange(ModelName model) {
        if (mColdStartWaits.containsKey(model) && !mPlacement.replicas(model).isEmpty()) {
            ColdStartWait wait = mColdStartWaits.remove(model);
            long now = mClock.nowNanos();
            if (wait != null && !wait.isExpired(now)) {
                mMetrics.coldStart(model, Duration.ofNanos(now - wait.firstRequestAt()));
            }
        }
    }

    private record ColdStartWait(long firstRequestAt, long lastRequestAt) {
        boolean isExpired(long nowNanos) {
            return nowNanos - lastRequestAt > WAIT_EXPIRY_NANOS;
        }
    }
}
