package org.vanillaslip.internal.proofs.loads;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.fleet.DemandHistory;
import org.vanillaslip.internal.fleet.EngineState;
import org.vanillaslip.internal.fleet.LoadDemand;
import org.vanillaslip.internal.fleet.OrderKind;
import org.vanillaslip.internal.fleet.PlannedOrder;

/**
 * A plain baseline: wishes in a fixed order, the first free engine (one with a copy before others),
 * and the least recently used model makes way.
 */
public final class PlainPolicy implements LoadPolicy {

    private final Comparator<LoadDemand> mOrder;

    /** Creates a policy that takes wishes in the given order; equal ones as they came. */
    public PlainPolicy(Comparator<LoadDemand> order) {
        mOrder = order;
    }

    @Override
    public List<PlannedOrder> plan(
            List<EngineState> engines,
            Collection<LoadDemand> wishes,
            DemandHistory history,
            LastUse lastUse,
            int storeFree,
            long nowNanos) {
        List<PlannedOrder> orders = new ArrayList<>();
        Set<String> used = new HashSet<>();
        int store = storeFree;
        for (LoadDemand wish : wishes.stream().sorted(mOrder).toList()) {
            String model = wish.model().model();
            if (engines.stream().anyMatch(engine -> engine.isLoadedOrLoading(model))) {
                continue;
            }
            Optional<EngineState> chosen = choose(engines, used, model, store > 0);
            if (chosen.isPresent()) {
                EngineState engine = chosen.get();
                used.add(engine.instance());
                boolean fromStore = !engine.modelState().onDisk().contains(model);
                store -= fromStore ? 1 : 0;
                orders.add(order(engine, model, fromStore, lastUse));
            }
        }
        return orders;
    }

    private static Optional<EngineState> choose(
            List<EngineState> engines, Set<String> used, String model, boolean store) {
        return engines.stream()
                .filter(engine -> engine.canAcceptOrder() && !used.contains(engine.instance()))
                .filter(engine -> store || engine.modelState().onDisk().contains(model))
                .min(Comparator.comparing(engine -> !engine.modelState().onDisk().contains(model)));
    }

    private static PlannedOrder order(
            EngineState engine, String model, boolean fromStore, LastUse lastUse) {
        boolean full = engine.modelState().loaded().size() >= LoadSimulation.PLACES;
        String victim =
                engine.modelState().loaded().keySet().stream()
                        .min(
                                Comparator.comparingLong(
                                        name -> lastUse.millis(engine.instance(), name)))
                        .orElse(model);
        return new PlannedOrder(
                engine.instance(),
                full ? OrderKind.UNLOAD : OrderKind.LOAD,
                full ? victim : model,
                Optional.empty(),
                model,
                Duration.ZERO,
                !full && fromStore,
                "plain");
    }
}
