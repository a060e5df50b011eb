package org.vanillaslip.internal.proofs.processes;

import java.nio.file.Path;

/**
 * One daemon of a deployment with its addresses.
 *
 * @param settingsFile the INI file that it was started with
 */
public record HostProcess(
        String name,
        String failureDomain,
        String gatewayAddress,
        String peerAddress,
        Path settingsFile,
        JavaProcess process) {

    /** Returns the same host with a newly started process. */
    HostProcess withProcess(JavaProcess process) {
        return new HostProcess(
                name, failureDomain, gatewayAddress, peerAddress, settingsFile, process);
    }
}
