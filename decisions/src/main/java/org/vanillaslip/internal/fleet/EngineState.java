package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.FailureDomain;

/**
 * State of a model engine as seen by the host that plans the loads.
 *
 * @param running number of running calls by model, over all hosts
 * @param activeCalls number of calls that run or wait on the engine
 * @param busyFor remaining time of the current order; zero if there is none
 * @param loading model, or model and adapter, that the current order loads
 * @param recentlyLoaded models that have just been loaded and whose callers may not have reached
 *     the engine yet
 * @param unconfirmedLoads upper bound of the loads by orders of unknown outcome once the engine has
 *     accepted the next order
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

    /** Returns whether the engine can accept an order now. */
    public boolean canAcceptOrder() {
        return busyFor.isZero() && !modelState.executingOrder();
    }

    /** Returns whether the model is loaded or being loaded. */
    public boolean isLoadedOrLoading(String model) {
        return modelState.loaded().containsKey(model) || loading.equals(Optional.of(model));
    }
}
