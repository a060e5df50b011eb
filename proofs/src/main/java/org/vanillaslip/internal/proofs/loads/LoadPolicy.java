package org.vanillaslip.internal.proofs.loads;

import java.util.Collection;
import java.util.List;
import org.vanillaslip.internal.fleet.DemandHistory;
import org.vanillaslip.internal.fleet.EngineState;
import org.vanillaslip.internal.fleet.LoadDemand;
import org.vanillaslip.internal.fleet.PlannedOrder;

/** Selects the load and unload orders to send at a given time. */
@FunctionalInterface
public interface LoadPolicy {

    /**
     * Returns at most one order for each free engine.
     *
     * @param demands requested loads, ordered by the arrival of the first caller of each
     */
    List<PlannedOrder> plan(
            List<EngineState> engines,
            Collection<LoadDemand> demands,
            DemandHistory history,
            LastUse lastUse,
            int availableStoreLoads,
            long nowNanos);
}
