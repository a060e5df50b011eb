package org.vanillaslip.internal.lease;

/**
 * The lease as it is stored in the shard object.
 *
 * @param holder host that holds the lease; empty after it was released in a planned stop
 * @param term increases by one with each change of holder; fencing token of orders
 * @param nonce identifies the write that stored this record
 * @param validityMillis validity that must expire before a candidate takes the lease
 */
public record LeaseRecord(String holder, long term, String nonce, long validityMillis) {

    /** The lease of a shard object that does not exist yet. */
    public static final LeaseRecord NONE = new LeaseRecord("", 0, "", 0);

    /** Returns whether no host holds the lease. */
    public boolean released() {
        return holder.isEmpty();
    }
}
