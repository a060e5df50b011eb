package org.vanillaslip.internal.placement;

import java.util.List;

/**
 * A write without a known outcome.
 *
 * @param expectedVersion version that the write replaces; 0 creates the object
 * @param sentNanos when the write was sent; the lease is valid from this time
 * @param events events to log once the write has taken effect
 */
public record PendingWrite(
        long expectedVersion, ShardRecord record, long sentNanos, List<ShardEvent> events) {

    /** Returns the nonce that identifies this write. */
    public String nonce() {
        return record.lease().nonce();
    }
}
