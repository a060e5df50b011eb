package org.vanillaslip.internal.control.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.backend.EngineStatus;
import org.vanillaslip.internal.placement.OfflineLoad;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.OrderAction;

/**
 * Selects orders from the offline placement set while neither the platform nor a lease holder can
 * be reached.
 */
final class OfflineOrderSelector {

    // The lease of a holder that was silent for the whole lease validity has expired.
    static final Duration HOLDER_SILENCE = Duration.ofSeconds(10);

    private OfflineOrderSelector() {}

    /**
     * Returns an order for the model if the shard's offline placement set has one that can be
     * executed now.
     */
    static Optional<Order> selectOrder(
            ShardRuntime shard,
            ModelName model,
            Function<String, Optional<EngineStatus>> statusOf) {
        return shard.record().offline().stream()
                .filter(OfflineLoad::active)
                .filter(load -> load.model().equals(model.model()))
                .flatMap(
                        load ->
                                statusOf.apply(load.server()).stream()
                                        .map(status -> toOrder(load, status)))
                .filter(order -> !isReported(order, statusOf))
                .findFirst();
    }

    private static boolean isReported(
            Order order, Function<String, Optional<EngineStatus>> statusOf) {
        return statusOf.apply(order.server()).stream()
                .flatMap(status -> status.report().models().stream())
                .anyMatch(resident -> resident.model().equals(order.model()));
    }

    private static Order toOrder(OfflineLoad load, EngineStatus status) {
        return new Order(
                load.decision(),
                load.term(),
                load.server(),
                status.report().incarnation(),
                OrderAction.LOAD,
                load.model(),
                load.version(),
                "",
                "");
    }
}
