package org.vanillaslip.internal.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;

/** Estimates how long a caller waits until a model is loaded. */
public final class ActivationEstimate {

    // Duration of an adapter load while at most 32 are in flight.
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(15);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private ActivationEstimate() {}

    /** Returns the expected wait, or a refusal if the shard cannot load the model now. */
    public static Either<Refusal, Duration> of(
            ShardState state, ShardContext context, ModelName name, long nowNanos) {
        Optional<Model> model = context.model(name.model());
        if (model.isEmpty()) {
            return Either.left(Refusal.of(ResultCode.UNKNOWN_MODEL, name.toString()));
        }
        Duration adapterLoadTime = name.adapter().isPresent() ? ADAPTER_LOAD_TIME : Duration.ZERO;
        LoadTargetSelector targetSelector = new LoadTargetSelector(state, context, nowNanos);
        Optional<Placement> placement =
                state.record().placements().stream()
                        .filter(p -> p.isFor(name.model(), model.get().version(), ""))
                        .filter(p -> p.stage() != PlacementStage.UNLOAD_ORDERED)
                        .findFirst();
        if (placement.isPresent()) {
            boolean loaded = placement.get().stage() == PlacementStage.LOADED;
            Duration baseLoadTime =
                    loaded
                            ? Duration.ZERO
                            : loadTime(
                                    targetSelector, model.get(), placement.get(), context, state);
            return Either.right(baseLoadTime.plus(adapterLoadTime));
        }
        return estimateNewPlacement(state, context, model.get(), targetSelector)
                .map(adapterLoadTime::plus);
    }

    private static Duration loadTime(
            LoadTargetSelector targetSelector,
            Model model,
            Placement placement,
            ShardContext context,
            ShardState state) {
        return context.server(placement.server())
                .map(server -> targetSelector.estimateLoadTime(model, server, state.record()))
                .orElse(model.loadTimes().fromRemote());
    }

    private static Either<Refusal, Duration> estimateNewPlacement(
            ShardState state,
            ShardContext context,
            Model model,
            LoadTargetSelector targetSelector) {
        int budget = new ReplicaBudget(context.configuration()).of(model, context.shard());
        if (budget == 0) {
            return refusal(model, "the configuration assigns no replica to this control shard");
        }
        List<BackendServer> servers =
                targetSelector.candidates(model, state.record()).stream()
                        .filter(server -> server.memoryBytes() >= model.memoryBytes())
                        .toList();
        return servers.isEmpty()
                ? refusal(model, "no available server has enough memory")
                : Either.right(
                        targetSelector.estimateLoadTime(model, servers.get(0), state.record()));
    }

    private static Either<Refusal, Duration> refusal(Model model, String reason) {
        String detail = "model " + model.name() + ": " + reason;
        return Either.left(Refusal.retryable(ResultCode.NO_BACKEND_SERVER, detail, RETRY_AFTER));
    }
}
