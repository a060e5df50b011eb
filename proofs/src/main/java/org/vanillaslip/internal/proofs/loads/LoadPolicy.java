package org.vanillaslip.internal.proofs.loads;

import java.util.Collection;
import java.util.List;
import org.vanillaslip.internal.fleet.DemandHistory;
import org.vanillaslip.internal.fleet.EngineState;
import org.vanillaslip.internal.fleet.LoadDemand;
import org.vanillaslip.internal.fleet.PlannedOrder;

/** Decides which orders are given now. */
@FunctionalInterface
public interface LoadPolicy {

    /**
     * Returns at most one order for each free engine.
     *
     * @param demands in the order in which the first caller of each came
     */
    List<PlannedOrder> plan(
            List<EngineState> engines,
            Collection<LoadDemand> demands,
            DemandHistory history,
            LastUse lastUse,
            int availableStoreLoads,
            long nowNanos);
}
