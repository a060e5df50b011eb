package org.vanillaslip.internal.placement;

/** A host acts on the given object version or a newer one; learned at the given time. */
public record VersionConfirmation(long version, long receivedNanos) {

    /** Returns whether the version is confirmed and the report was asked for after that. */
    boolean confirmedBefore(ServerReport report, long neededVersion) {
        return version >= neededVersion && report.requestedNanos() >= receivedNanos;
    }
}
