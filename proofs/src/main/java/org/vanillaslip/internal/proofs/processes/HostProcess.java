package org.vanillaslip.internal.proofs.processes;

import java.nio.file.Path;

/**
 * The daemon process of a host and its addresses.
 *
 * @param settingsFile INI file that the daemon is started with
 */
public record HostProcess(
        String name,
        String failureDomain,
        String gatewayAddress,
        String peerAddress,
        Path settingsFile,
        JavaProcess process) {

    /** Returns a copy with the given process. */
    HostProcess withProcess(JavaProcess process) {
        return new HostProcess(
                name, failureDomain, gatewayAddress, peerAddress, settingsFile, process);
    }
}
