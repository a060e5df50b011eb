package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.FailureDomain;

/**
 * A model engine as the host that orders loads sees it.
 *
 * @param running calls that run by model, over all hosts
 * @param activeCalls all calls that run or wait there
 * @param busyFor time until its current order is done; zero when it can take one now
 * @param loading model, or model and adapter, that its current order is for
 * @param recentlyLoaded models whose load has just ended, so that their callers are still on their
 *     way
 * @param unconfirmedLoads what orders of unknown outcome may load once the next order is accepted
 */
public record EngineState(
        String instance,
        FailureDomain failureDomain,
        ServerModelState modelState,
        Map<String, Integer> running,
        int activeCalls,
        Duration busyFor,
        Optional<String> loading,
        Set<String> recentlyLoaded,
        UnconfirmedLoads unconfirmedLoads) {

    /** Returns whether the engine can take an order now. */
    public boolean canAcceptOrder() {
        return busyFor.isZero() && !modelState.executingOrder();
    }

    /** Returns whether the model is loaded or being loaded. */
    public boolean isLoadedOrLoading(String model) {
        return modelState.loaded().containsKey(model) || loading.equals(Optional.of(model));
    }
}
