package org.vanillaslip.internal.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Models that a server holds.
 *
 * @param orderCount orders that the server has accepted since its start
 * @param executingOrder whether an order is being carried out
 * @param loaded adapters of each loaded model
 * @param inMemory models with a copy of their weights in main memory
 * @param onDisk models with a copy of their weights on the server's disk
 */
public record ServerModelState(
        long orderCount,
        boolean executingOrder,
        Map<String, Set<String>> loaded,
        Set<String> inMemory,
        Set<String> onDisk) {

    /** The stock of a server that holds nothing. */
    public static final ServerModelState EMPTY =
            new ServerModelState(0, false, Map.of(), Set.of(), Set.of());

    /** Copies the collections so that the record is immutable. */
    public ServerModelState {
        loaded = Map.copyOf(loaded);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
