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
 * @param inUse all calls that run or wait there
 * @param busyFor time until its current order is done; zero when it can take one now
 * @param loading model, or model and adapter, that its current order is for
 * @param fresh models whose load has just ended, so that their callers are still on their way
 * @param late what orders of unknown outcome may load once the next order is accepted
 */
public record EngineState(
        String instance,
        FailureDomain failureDomain,
        ServerModelState stock,
        Map<String, Integer> running,
        int inUse,
        Duration busyFor,
        Optional<String> loading,
        Set<String> fresh,
        UnconfirmedLoads late) {

    /** Returns whether the engine can take an order now. */
    public boolean free() {
        return busyFor.isZero() && !stock.ordered();
    }

    /** Returns whether the model is loaded or being loaded. */
    public boolean holdsOrLoads(String model) {
        return stock.loaded().containsKey(model) || loading.equals(Optional.of(model));
    }
}
