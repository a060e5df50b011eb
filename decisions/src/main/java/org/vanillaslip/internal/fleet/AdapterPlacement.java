package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;

/** Selects the next order to load an adapter on an engine that has loaded its model. */
final class AdapterPlacement {

    /**
     * Expected time of an adapter order: a few milliseconds for the load plus the network delay.
     */
    static final Duration ADAPTER_ORDER_TIME = Duration.ofMillis(40);

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final Set<ModelName> mRequested;

    /**
     * Creates a placement for the current demand.
     *
     * @param requested models and adapters that have waiting callers
     */
    AdapterPlacement(EngineProfile profile, DemandHistory history, Set<ModelName> requested) {
        mProfile = profile;
        mHistory = history;
        mRequested = requested;
    }

    /**
     * Returns the load order if a slot is free, otherwise the unload order for the least recently
     * requested adapter. Empty if all loaded adapters have waiting callers, or if a single unload
     * would not free enough slots.
     */
    Optional<PlannedOrder> nextOrder(EngineState engine, ModelName adapter) {
        int loadedCount = engine.modelState().loaded().values().stream().mapToInt(Set::size).sum();
        int missingSlots =
                loadedCount + 1 + engine.unconfirmedLoads().adapters() - mProfile.adapterSlots();
        if (missingSlots <= 0) {
            return Optional.of(order(engine, OrderKind.LOAD, adapter, adapter, "waiting calls"));
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
                                        "frees an adapter slot"));
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
