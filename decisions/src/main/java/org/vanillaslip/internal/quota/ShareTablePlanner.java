package org.vanillaslip.internal.quota;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Computes the next share table of a failure domain. The held parts never exceed the parts of the
 * domain.
 */
public final class ShareTablePlanner {

    private ShareTablePlanner() {}

    /**
     * Returns the next table, or the given table if nothing changes. Hosts get equal shares. A
     * share grows only by parts that another host has confirmed to no longer use.
     *
     * @param staying listed hosts that are not leaving
     * @param unlisted hosts that have been missing from the platform's list for 60 s
     * @param confirmed highest generation that each host has confirmed
     */
    public static ShareTable next(
            ShareTable table,
            Set<String> staying,
            Set<String> unlisted,
            Map<String, Long> confirmed) {
        Map<String, Share> shares = new TreeMap<>(table.shares());
        shares.keySet().removeIf(host -> unlisted.contains(host) && !staying.contains(host));
        shares.replaceAll((host, share) -> confirm(share, confirmed.getOrDefault(host, -1L)));
        long generation = table.generation() + 1;
        Map<String, Long> targets = ShareTable.divide(table.domainParts(), staying);
        shares.replaceAll((host, share) -> shrink(share, targets, generation));
        grow(shares, table.domainParts(), targets);
        shares.values().removeIf(share -> share.heldParts() == 0);
        if (shares.equals(table.shares())) {
            return table;
        }
        return new ShareTable(generation, table.failureDomain(), table.domainParts(), shares);
    }

    private static Share confirm(Share share, long confirmedGeneration) {
        if (share.isShrinking() && confirmedGeneration >= share.generation()) {
            return new Share(share.host(), share.parts(), share.parts(), share.generation());
        }
        return share;
    }

    private static Share shrink(Share share, Map<String, Long> targets, long generation) {
        long target = targets.getOrDefault(share.host(), 0L);
        if (share.parts() <= target) {
            return share;
        }
        return new Share(share.host(), target, share.heldParts(), generation);
    }

    private static void grow(
            Map<String, Share> shares, long domainParts, Map<String, Long> targets) {
        long free = domainParts - shares.values().stream().mapToLong(Share::heldParts).sum();
        for (Map.Entry<String, Long> target : targets.entrySet()) {
            String host = target.getKey();
            Share share = shares.getOrDefault(host, new Share(host, 0, 0, 0));
            long growth = Math.min(free, target.getValue() - share.parts());
            if (growth > 0 && !share.isShrinking()) {
                long parts = share.parts() + growth;
                shares.put(host, new Share(host, parts, parts, share.generation()));
                free -= growth;
            }
        }
    }
}
