package org.vanillaslip.internal.placement;

/**
 * A confirmation by a host that it acts on an object version or a newer one.
 *
 * @param receivedNanos when the confirmation was received
 */
public record VersionConfirmation(long version, long receivedNanos) {

    /** Returns whether the needed version was confirmed before the report was requested. */
    boolean confirmedBefore(ServerReport report, long neededVersion) {
        return version >= neededVersion && report.requestedNanos() >= receivedNanos;
    }
}
