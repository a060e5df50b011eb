package org.vanillaslip.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What a server holds after an order. */
public final class ModelStateChanges {

    private ModelStateChanges() {}

    /** Returns the stock once the server has accepted the order: a load is not finished then. */
    public static ServerModelState afterAcceptance(ServerModelState state, PlannedOrder order) {
        ServerModelState accepted =
                order.kind() == OrderKind.UNLOAD ? afterCompletion(state, order) : state;
        return new ServerModelState(
                accepted.orderCount(),
                true,
                accepted.loaded(),
                accepted.inMemory(),
                accepted.onDisk());
    }

    /** Returns the stock once the order is done. */
    public static ServerModelState afterCompletion(ServerModelState state, PlannedOrder order) {
        Map<String, Set<String>> loaded = new HashMap<>(state.loaded());
        if (order.adapter().isPresent()) {
            Set<String> adapters = new HashSet<>(loaded.getOrDefault(order.model(), Set.of()));
            order.adapter()
                    .ifPresent(
                            name -> {
                                if (order.kind() == OrderKind.LOAD) {
                                    adapters.add(name);
                                } else {
                                    adapters.remove(name);
                                }
                            });
            loaded.computeIfPresent(order.model(), (name, before) -> adapters);
        } else if (order.kind() == OrderKind.UNLOAD) {
            loaded.remove(order.model());
        } else {
            loaded.put(order.model(), Set.of());
        }
        return new ServerModelState(
                state.orderCount(),
                state.executingOrder(),
                loaded,
                state.inMemory(),
                state.onDisk());
    }

    /** Returns the stock of a server that can take the next order. */
    public static ServerModelState withoutActiveOrder(ServerModelState state) {
        return new ServerModelState(
                state.orderCount(), false, state.loaded(), state.inMemory(), state.onDisk());
    }

    /** Returns the stock of a server that has accepted at least the given number of orders. */
    public static ServerModelState withMinimumOrderCount(ServerModelState state, long minimum) {
        return new ServerModelState(
                Math.max(state.orderCount(), minimum),
                state.executingOrder(),
                state.loaded(),
                state.inMemory(),
                state.onDisk());
    }
}
