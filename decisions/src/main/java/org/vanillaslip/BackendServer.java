package org.vanillaslip;

/**
 * A server that answers requests: a model engine or a plain service.
 *
 * @param address {@code ip:port} of its HTTP interface
 * @param pool pool that the server belongs to; routes and models refer to it by this name
 * @param controlShard control shard of the server; the lease holder of the shard decides which
 *     models the server loads
 * @param memoryBytes accelerator memory available for models and adapters
 * @param accelerators number of accelerators; idle cost is counted per accelerator
 * @param checksFencing whether the server rejects orders with an outdated fencing token
 * @param drained whether operators have drained the server
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
