package org.vanillaslip.internal.placement;

import java.util.List;

/**
 * Computes the free memory of a server, counting memory that pending orders may still use as used.
 */
final class FreeMemoryCalculator {

    private FreeMemoryCalculator() {}

    /** Returns the bytes that no recorded, reported or offline load uses or can still use. */
    static long freeBytes(long memoryBytes, ShardRecord record, ServerReport report) {
        List<Placement> placed =
                record.placements().stream()
                        .filter(placement -> placement.server().equals(report.server()))
                        .toList();
        long recorded = placed.stream().mapToLong(Placement::memoryBytes).sum();
        long offline =
                record.offline().stream()
                        .filter(load -> load.server().equals(report.server()))
                        .filter(load -> placed.stream().noneMatch(load::coveredBy))
                        .mapToLong(OfflineLoad::memoryBytes)
                        .sum();
        // Reported models without a placement were loaded while the host was partitioned.
        boolean unrecorded =
                report.models().stream()
                        .anyMatch(model -> placed.stream().noneMatch(p -> p.matches(model)));
        long used = recorded + offline;
        return memoryBytes - (unrecorded ? used + report.memoryUsedBytes() : used);
    }
}
