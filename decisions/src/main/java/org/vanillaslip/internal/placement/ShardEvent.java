package org.vanillaslip.internal.placement;

/**
 * A decision or outcome to be logged, with its model, server and reason. Fields that do not apply
 * are empty.
 */
public record ShardEvent(ShardEventKind kind, String model, String server, String reason) {

    /** Creates an event about a placement. */
    static ShardEvent ofPlacement(ShardEventKind kind, Placement placement, String reason) {
        String name = placement.model();
        if (!placement.adapter().isEmpty()) {
            name = name + ":" + placement.adapter();
        }
        return new ShardEvent(kind, name, placement.server(), reason);
    }

    /** Creates an event about the lease of a shard. */
    static ShardEvent ofLease(ShardEventKind kind, ShardContext context, String reason) {
        return new ShardEvent(kind, "", "", "shard " + context.shard() + ": " + reason);
    }
}
