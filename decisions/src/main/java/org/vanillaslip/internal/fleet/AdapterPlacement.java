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
    static final Duration ORDER_TIME = Duration.ofMillis(40);

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final Set<ModelName> mWanted;

    /**
     * Creates a choice.
     *
     * @param wanted models and adapters that callers wait for
     */
    AdapterPlacement(EngineProfile profile, DemandHistory history, Set<ModelName> wanted) {
        mProfile = profile;
        mHistory = history;
        mWanted = wanted;
    }

    /**
     * Returns the next order: the load, or first the unload of the adapter that was not asked for
     * longest. Empty while every adapter of the engine is waited for.
     */
    Optional<PlannedOrder> next(EngineState engine, ModelName adapter) {
        int held = engine.modelState().loaded().values().stream().mapToInt(Set::size).sum();
        int missing = held + 1 + engine.unconfirmedLoads().adapters() - mProfile.adapterSlots();
        if (missing <= 0) {
            return Optional.of(order(engine, OrderKind.LOAD, adapter, adapter, "calls wait"));
        }
        if (missing > 1) {
            return Optional.empty();
        }
        return loaded(engine)
                .filter(name -> !mWanted.contains(name))
                .min(
                        Comparator.comparingLong(mHistory::lastAdapterRequest)
                                .thenComparing(ModelName::toString))
                .map(
                        victim ->
                                order(
                                        engine,
                                        OrderKind.UNLOAD,
                                        victim,
                                        adapter,
                                        "an adapter makes way"));
    }

    private static Stream<ModelName> loaded(EngineState engine) {
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
                ORDER_TIME,
                false,
                reason);
    }
}
