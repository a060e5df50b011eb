package org.vanillaslip.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What a server holds after an order. */
public final class StockChange {

    private StockChange() {}

    /** Returns the stock once the server has accepted the order: a load is not finished then. */
    public static ServerStock accepted(ServerStock stock, PlannedOrder order) {
        ServerStock changed = order.kind() == OrderKind.UNLOAD ? applied(stock, order) : stock;
        return new ServerStock(
                changed.orderCount(), true, changed.loaded(), changed.inMemory(), changed.onDisk());
    }

    /** Returns the stock once the order is done. */
    public static ServerStock applied(ServerStock stock, PlannedOrder order) {
        Map<String, Set<String>> loaded = new HashMap<>(stock.loaded());
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
        return new ServerStock(
                stock.orderCount(), stock.ordered(), loaded, stock.inMemory(), stock.onDisk());
    }

    /** Returns the stock of a server that can take the next order. */
    public static ServerStock idle(ServerStock stock) {
        return new ServerStock(
                stock.orderCount(), false, stock.loaded(), stock.inMemory(), stock.onDisk());
    }

    /** Returns the stock of a server that has accepted at least the given number of orders. */
    public static ServerStock counted(ServerStock stock, long orders) {
        return new ServerStock(
                Math.max(stock.orderCount(), orders),
                stock.ordered(),
                stock.loaded(),
                stock.inMemory(),
                stock.onDisk());
    }
}
