package org.vanillaslip.internal.placement;

/** A decision or outcome with its model, server and reason; fields that do not apply are empty. */
public record Notice(NoticeKind kind, String model, String server, String reason) {

    /** Creates a notice about a placement. */
    static Notice of(NoticeKind kind, Placement placement, String reason) {
        String name = placement.model();
        if (!placement.adapter().isEmpty()) {
            name = name + ":" + placement.adapter();
        }
        return new Notice(kind, name, placement.server(), reason);
    }

    /** Creates a notice about the lease of a shard. */
    static Notice ofLease(NoticeKind kind, ShardContext context, String reason) {
        return new Notice(kind, "", "", "shard " + context.shard() + ": " + reason);
    }
}
