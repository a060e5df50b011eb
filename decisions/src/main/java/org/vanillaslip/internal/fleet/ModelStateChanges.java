package org.vanillaslip.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Computes the model state of a server after changes by orders. */
public final class ModelStateChanges {

    private ModelStateChanges() {}

    /** Returns the state after the server accepts the order; a load is not completed yet. */
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

    /** Returns the state after the order is completed. */
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

    /** Returns the state of a server that can accept the next order. */
    public static ServerModelState withoutActiveOrder(ServerModelState state) {
        return new ServerModelState(
                state.orderCount(), false, state.loaded(), state.inMemory(), state.onDisk());
    }

    /** Returns the state with at least the given number of accepted orders. */
    public static ServerModelState withMinimumOrderCount(ServerModelState state, long minimum) {
        return new ServerModelState(
                Math.max(state.orderCount(), minimum),
                state.executingOrder(),
                state.loaded(),
                state.inMemory(),
                state.onDisk());
    }
}
