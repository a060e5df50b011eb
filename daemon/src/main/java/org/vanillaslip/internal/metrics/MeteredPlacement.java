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

/** Measures cold starts as observed by the requests of this host. Confined to the decision loop. */
public final class MeteredPlacement implements PlacementView {

    /**
     * Waiting requests activate the model again when their expected wait has passed. After this
     * time without an activation no request is waiting, so a later load does not end a cold start.
     */
    private static final long WAIT_EXPIRY_NANOS = Duration.ofMinutes(10).toNanos();

    private final PlacementView mPlacement;
    private final MonotonicClock mClock;
    private final DaemonMetrics mMetrics;
    private final Map<ModelName, ColdStartWait> mColdStartWaits = new HashMap<>();

    /** Creates a view that measures the cold starts of models activated through the given view. */
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
        // With a full or drained replica requests wait too, but not for a cold start.
        if (mPlacement.replicas(model).isEmpty()) {
            long now = mClock.nowNanos();
            mColdStartWaits.values().removeIf(pending -> pending.isExpired(now));
            mColdStartWaits.merge(
                    model,
                    new ColdStartWait(now, now),
                    (previous, latest) -> new ColdStartWait(previous.firstRequestAt(), now));
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
