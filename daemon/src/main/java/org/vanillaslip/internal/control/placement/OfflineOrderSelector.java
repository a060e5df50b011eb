package org.vanillaslip.internal.control.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.backend.EngineStatus;
import org.vanillaslip.internal.placement.OfflineLoad;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.OrderAction;

/** Carries out the offline placement set while neither platform nor lease holder can be reached. */
final class OfflineOrderSelector {

    // A holder that has been silent for its whole validity holds no lease any more.
    static final Duration HOLDER_SILENCE = Duration.ofSeconds(10);

    private OfflineOrderSelector() {}

    /** Returns the order for the model if the shard's set has one that can be carried out now. */
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
