package org.vanillaslip.internal.quota;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assignment of fractions of every limit to the hosts of one failure domain.
 *
 * @param generation increases with each change
 * @param domainParts fraction of the failure domain in units of 1 / {@link #TOTAL_PARTS}; it is
 *     never assigned to another domain
 */
public record ShareTable(
        long generation, String failureDomain, long domainParts, Map<String, Share> shares) {

    /** Number of parts that all failure domains own together. */
    public static final long TOTAL_PARTS = 1_000_000_000L;

    public ShareTable {
        shares = Map.copyOf(shares);
    }

    /** Returns a table in which no host has a share. */
    public static ShareTable empty(String failureDomain, long domainParts) {
        return new ShareTable(0, failureDomain, domainParts, Map.of());
    }

    /**
     * Divides the parts among the names without a remainder; two results differ by at most one
     * part.
     */
    public static Map<String, Long> divide(long parts, Set<String> names) {
        Map<String, Long> divided = new TreeMap<>();
        long remainder = names.isEmpty() ? 0 : parts % names.size();
        for (String name : new TreeSet<>(names)) {
            divided.put(name, parts / names.size() + (divided.size() < remainder ? 1 : 0));
        }
        return divided;
    }

    /** Returns the parts that the host may use. */
    public long partsOf(String host) {
        return Optional.ofNullable(shares.get(host)).map(Share::parts).orElse(0L);
    }
}
