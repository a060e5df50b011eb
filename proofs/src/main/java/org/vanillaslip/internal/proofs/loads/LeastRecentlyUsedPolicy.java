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
 * A baseline policy that handles demands in a fixed order, picks the first free engine (preferring
 * one that has the model on disk), and evicts the least recently used model from a full engine.
 */
public final class LeastRecentlyUsedPolicy implements LoadPolicy {

    private final Comparator<LoadDemand> mOrder;

    /** Creates a policy that handles demands in the given order, and equal ones by arrival. */
    public LeastRecentlyUsedPolicy(Comparator<LoadDemand> order) {
        mOrder = order;
    }

    @Override
    public List<PlannedOrder> plan(
            List<EngineState> engines,
            Collection<LoadDemand> demands,
            DemandHistory history,
            LastUse lastUse,
            int availableStoreLoads,
            long nowNanos) {
        List<PlannedOrder> orders = new ArrayList<>();
        Set<String> enginesWithOrder = new HashSet<>();
        int remainingStoreLoads = availableStoreLoads;
        for (LoadDemand demand : demands.stream().sorted(mOrder).toList()) {
            String model = demand.model().model();
            if (engines.stream().anyMatch(engine -> engine.isLoadedOrLoading(model))) {
                continue;
            }
            Optional<EngineState> chosen =
                    chooseEngine(engines, enginesWithOrder, model, remainingStoreLoads > 0);
            if (chosen.isPresent()) {
                EngineState engine = chosen.get();
                enginesWithOrder.add(engine.instance());
                boolean fromStore = !engine.modelState().onDisk().contains(model);
                remainingStoreLoads -= fromStore ? 1 : 0;
                orders.add(createOrder(engine, model, fromStore, lastUse));
            }
        }
        return orders;
    }

    private static Optional<EngineState> chooseEngine(
            List<EngineState> engines,
            Set<String> enginesWithOrder,
            String model,
            boolean storeAvailable) {
        return engines.stream()
                .filter(
                        engine ->
                                engine.canAcceptOrder()
                                        && !enginesWithOrder.contains(engine.instance()))
                .filter(engine -> storeAvailable || engine.modelState().onDisk().contains(model))
                .min(Comparator.comparing(engine -> !engine.modelState().onDisk().contains(model)));
    }

    private static PlannedOrder createOrder(
            EngineState engine, String model, boolean fromStore, LastUse lastUse) {
        boolean full = engine.modelState().loaded().size() >= LoadSimulation.MODELS_PER_ENGINE;
        String evicted =
                engine.modelState().loaded().keySet().stream()
                        .min(
                                Comparator.comparingLong(
                                        name -> lastUse.lastUseMillis(engine.instance(), name)))
                        .orElse(model);
        return new PlannedOrder(
                engine.instance(),
                full ? OrderKind.UNLOAD : OrderKind.LOAD,
                full ? evicted : model,
                Optional.empty(),
                model,
                Duration.ZERO,
                !full && fromStore,
                "plain");
    }
}
