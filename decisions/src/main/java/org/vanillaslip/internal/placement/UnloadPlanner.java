package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;

/** Decides which loaded models and adapters to unload. */
final class UnloadPlanner {

    private final ShardRecordDraft mDraft;
    private final ShardState mState;
    private final long mNowNanos;

    UnloadPlanner(ShardRecordDraft draft, ShardState state, long nowNanos) {
        mDraft = draft;
        mState = state;
        mNowNanos = nowNanos;
    }

    void apply() {
        for (Placement placement : mDraft.placements()) {
            if (placement.stage() == PlacementStage.LOADED) {
                unloadReason(placement).ifPresent(reason -> unload(placement, reason));
            }
        }
    }

    /**
     * Unloads the longest idle models of a server until enough memory will be free, and returns
     * whether that is possible.
     */
    boolean evictIdleModels(BackendServer server, long bytes, long freeBytes, ModelName requested) {
        long freeOrUnloading = freeBytes + memoryInStage(PlacementStage.UNLOAD_ORDERED, server);
        if (freeOrUnloading >= bytes) {
            return true;
        }
        List<Placement> idle =
                mDraft.placements().stream()
                        .filter(p -> p.server().equals(server.name()))
                        .filter(p -> p.stage() == PlacementStage.LOADED)
                        .filter(p -> !p.model().equals(requested.model()) && !isRequested(p))
                        .filter(p -> idleTime(p).compareTo(MIN_IDLE_TIME_FOR_EVICTION) >= 0)
                        .sorted(Comparator.comparing(this::idleTime).reversed())
                        .toList();
        if (freeOrUnloading + idle.stream().mapToLong(Placement::memoryBytes).sum() < bytes) {
            return false;
        }
        for (Placement placement : idle) {
            if (freeOrUnloading < bytes && unload(placement, "evicted to load " + requested)) {
                freeOrUnloading += placement.memoryBytes();
            }
        }
        return freeOrUnloading >= bytes;
    }

    // A model that was used within the last second is probably serving a burst.
    private static final Duration MIN_IDLE_TIME_FOR_EVICTION = Duration.ofSeconds(1);

    private Optional<String> unloadReason(Placement placement) {
        Optional<Model> model = mDraft.context().model(placement.model());
        Optional<BackendServer> server = mDraft.context().server(placement.server());
        if (model.isEmpty() || server.isEmpty()) {
            return Optional.of("model removed from configuration");
        } else if (mDraft.context().configuration().isDrained(server.get())) {
            return Optional.of("server drained");
        } else if (isOutdated(placement, model.get())) {
            return Optional.of("outdated version");
        } else if (exceedsBudget(placement, model.get())) {
            return Optional.of("over replica budget");
        }
        return idleReason(placement, server.get());
    }

    private boolean isOutdated(Placement placement, Model model) {
        boolean current = placement.version().equals(model.version());
        boolean replaced =
                mDraft.findPlacement(
                                p ->
                                        p.stage() == PlacementStage.LOADED
                                                && p.isFor(model.name(), model.version(), ""))
                        .isPresent();
        boolean budgetExhausted = mDraft.replicas(model.name()) >= budget(model);
        return !current && (replaced || budgetExhausted);
    }

    private boolean exceedsBudget(Placement placement, Model model) {
        long unloading =
                mDraft.placements().stream()
                        .filter(p -> p.adapter().isEmpty() && p.model().equals(model.name()))
                        .filter(p -> p.stage() == PlacementStage.UNLOAD_ORDERED)
                        .count();
        return placement.adapter().isEmpty()
                && mDraft.replicas(model.name()) - unloading > budget(model);
    }

    private int budget(Model model) {
        return mDraft.replicaBudget().of(model, mDraft.context().shard());
    }

    private Optional<String> idleReason(Placement placement, BackendServer server) {
        if (isRequested(placement)) {
            return Optional.empty();
        }
        return mState.demand()
                .arrivals()
                .get(modelName(placement))
                .toJavaOptional()
                .map(
                        history ->
                                mDraft.context()
                                        .settings()
                                        .keepAlive()
                                        .keepAlive(history, server.accelerators()))
                .filter(keepAlive -> idleTime(placement).compareTo(keepAlive) > 0)
                .map(keepAlive -> "idle for more than " + keepAlive);
    }

    /**
     * Unloads the placement, or only its adapters if it has any. Returns whether the placement
     * itself was unloaded.
     */
    private boolean unload(Placement placement, String reason) {
        List<Placement> adapters =
                placement.adapter().isEmpty()
                        ? mDraft.placements().stream()
                                .filter(p -> !p.adapter().isEmpty())
                                .filter(p -> p.server().equals(placement.server()))
                                .filter(p -> p.model().equals(placement.model()))
                                .toList()
                        : List.of();
        adapters.stream()
                .filter(p -> p.stage() == PlacementStage.LOADED)
                .forEach(p -> mDraft.recordUnload(p, reason));
        if (adapters.isEmpty() && mDraft.placements().contains(placement)) {
            mDraft.recordUnload(placement, reason);
            return true;
        }
        return false;
    }

    private boolean isRequested(Placement placement) {
        return mState.demand()
                .requestDeadlines()
                .keySet()
                .exists(
                        name ->
                                name.model().equals(placement.model())
                                        && (placement.adapter().isEmpty()
                                                || name.equals(modelName(placement))));
    }

    private Duration idleTime(Placement placement) {
        return mState.demand()
                .arrivals()
                .get(modelName(placement))
                .map(history -> Duration.ofNanos(mNowNanos - history.idleSinceNanos()))
                .getOrElse(Duration.ZERO);
    }

    private long memoryInStage(PlacementStage stage, BackendServer server) {
        return mDraft.placements().stream()
                .filter(p -> p.server().equals(server.name()) && p.stage() == stage)
                .mapToLong(Placement::memoryBytes)
                .sum();
    }

    static ModelName modelName(Placement placement) {
        return new ModelName(
                placement.model(),
                Optional.of(placement.adapter()).filter(adapter -> !adapter.isEmpty()));
    }
}
