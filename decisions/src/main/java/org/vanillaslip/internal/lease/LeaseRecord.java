package org.vanillaslip.internal.lease;

/**
 * The lease as stored in the shard object.
 *
 * @param holder host that holds the lease; empty after a planned stop
 * @param term grows by one with each change of holder; the fencing number of orders
 * @param nonce identifies the write that stored this record
 * @param validityMillis validity that candidates wait out
 */
public record LeaseRecord(String holder, long term, String nonce, long validityMillis) {

    /** The lease of an object that does not exist yet. */
    public static final LeaseRecord NONE = new LeaseRecord("", 0, "", 0);

    /** Returns whether nobody holds the lease. */
    public boolean released() {
        return holder.isEmpty();
    }
}
