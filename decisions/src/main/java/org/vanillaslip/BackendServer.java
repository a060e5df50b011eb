package org.vanillaslip;

/**
 * A server that answers requests: a model engine or a plain service.
 *
 * @param address {@code ip:port} of its HTTP interface
 * @param pool the routes that it serves name this pool
 * @param controlShard shard whose lease holder decides what this server loads
 * @param memoryBytes accelerator memory available for models and adapters
 * @param accelerators number of accelerators, the unit of idle cost
 * @param checksFencing whether the server refuses an order with an old fencing number
 * @param drained whether operators have taken the server out
 */
public record BackendServer(
        String name,
        FailureDomain failureDomain,
        String address,
        BackendKind kind,
        String pool,
        String controlShard,
        long memoryBytes,
        int accelerators,
        boolean checksFencing,
        boolean drained,
        SlowStart slowStart)
        implements ConfigurationItem {}
