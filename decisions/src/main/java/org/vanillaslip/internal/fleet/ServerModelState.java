package org.vanillaslip.internal.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Orders that a server has accepted, and the models that it has loaded or cached.
 *
 * @param orderCount number of orders that the server has accepted since its start
 * @param executingOrder whether the server is executing an order
 * @param loaded loaded adapters by loaded model
 * @param inMemory models whose weights are in the server's main memory
 * @param onDisk models whose weights are on the server's disk
 */
public record ServerModelState(
        long orderCount,
        boolean executingOrder,
        Map<String, Set<String>> loaded,
        Set<String> inMemory,
        Set<String> onDisk) {

    /** State of a server without models. */
    public static final ServerModelState EMPTY =
            new ServerModelState(0, false, Map.of(), Set.of(), Set.of());

    /** Copies the collections so that the record is immutable. */
    public ServerModelState {
        loaded = Map.copyOf(loaded);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
