package org.vanillaslip.internal.placement;

import java.util.List;

/** Counts the memory of a server that is taken or may still become taken. */
final class MemoryAccount {

    private MemoryAccount() {}

    /** Returns the bytes that no recorded, reported or offline load can claim. */
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
        // Reported memory that no record explains belongs to models loaded while partitioned.
        boolean unrecorded =
                report.models().stream()
                        .anyMatch(resident -> placed.stream().noneMatch(p -> p.matches(resident)));
        long taken = recorded + offline;
        return memoryBytes - (unrecorded ? taken + report.memoryUsedBytes() : taken);
    }
}
