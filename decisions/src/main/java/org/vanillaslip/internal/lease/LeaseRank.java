package org.vanillaslip.internal.lease;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.zip.CRC32C;

/** Distributes the leases of shards over hosts by rendezvous hashing. */
public final class LeaseRank {

    private LeaseRank() {}

    /** Returns the number of other hosts that are preferred over the given host for the shard. */
    public static int of(String shard, String host, Collection<String> hosts) {
        long hostWeight = weight(shard, host);
        return (int)
                hosts.stream()
                        .filter(other -> !other.equals(host))
                        .filter(other -> isPreferred(shard, other, host, hostWeight))
                        .count();
    }

    private static boolean isPreferred(String shard, String other, String host, long hostWeight) {
        long otherWeight = weight(shard, other);
        return otherWeight > hostWeight || otherWeight == hostWeight && other.compareTo(host) < 0;
    }

    private static long weight(String shard, String host) {
        CRC32C checksum = new CRC32C();
        checksum.update((shard + '\n' + host).getBytes(StandardCharsets.UTF_8));
        return finalizeHash(checksum.getValue());
    }

    // CRC32C is linear, so host names that differ in one character would rank alike on all shards.
    // The constants are those of the 64-bit finalizer of MurmurHash3.
    private static long finalizeHash(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return (mixed ^ mixed >>> 33) >>> 1;
    }
}
