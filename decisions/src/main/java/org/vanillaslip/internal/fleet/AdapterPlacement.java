package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;

/** Decides how an adapter gets a place on an engine that holds its model. */
final class AdapterPlacement {

    /** Adapters load within milliseconds; with the way of the order. */
    static final Duration ADAPTER_ORDER_TIME = Duration.ofMillis(40);

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final Set<ModelName> mRequested;

    /**
     * Creates a choice.
     *
     * @param requested models and adapters that callers wait for
     */
    AdapterPlacement(EngineProfile profile, DemandHistory history, Set<ModelName> requested) {
        mProfile = profile;
        mHistory = history;
        mRequested = requested;
    }

    /**
     * Returns the next order: the load, or first the unload of the adapter that was not asked for
     * longest. Empty while every adapter of the engine is waited for.
     */
    Optional<PlannedOrder> nextOrder(EngineState engine, ModelName adapter) {
        int loadedCount = engine.modelState().loaded().values().stream().mapToInt(Set::size).sum();
        int missingSlots =
                loadedCount + 1 + engine.unconfirmedLoads().adapters() - mProfile.adapterSlots();
        if (missingSlots <= 0) {
            return Optional.of(order(engine, OrderKind.LOAD, adapter, adapter, "calls wait"));
        }
        if (missingSlots > 1) {
            return Optional.empty();
        }
        return loadedAdapters(engine)
                .filter(name -> !mRequested.contains(name))
                .min(
                        Comparator.comparingLong(mHistory::lastAdapterRequest)
                                .thenComparing(ModelName::toString))
                .map(
                        evicted ->
                                order(
                                        engine,
                                        OrderKind.UNLOAD,
                                        evicted,
                                        adapter,
                                        "an adapter makes way"));
    }

    private static Stream<ModelName> loadedAdapters(EngineState engine) {
        return engine.modelState().loaded().entrySet().stream()
                .flatMap(
                        entry ->
                                entry.getValue().stream()
                                        .map(
                                                name ->
                                                        new ModelName(
                                                                entry.getKey(),
                                                                Optional.of(name))));
    }

    private static PlannedOrder order(
            EngineState engine,
            OrderKind kind,
            ModelName subject,
            ModelName purpose,
            String reason) {
        return new PlannedOrder(
                engine.instance(),
                kind,
                subject.model(),
                subject.adapter(),
                purpose.toString(),
                ADAPTER_ORDER_TIME,
                false,
                reason);
    }
}
