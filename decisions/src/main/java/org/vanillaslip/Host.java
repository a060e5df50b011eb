package org.vanillaslip;

/**
 * A machine that runs the daemon, as registered in the platform's host list.
 *
 * @param peerAddress {@code ip:port} on which the host accepts connections from other hosts
 * @param leaving whether the platform has announced that it will stop this host
 * @param linkMegabits bandwidth of the host's network link in Mbit/s; 0 if unknown
 */
public record Host(
        String name,
        FailureDomain failureDomain,
        String peerAddress,
        boolean leaving,
        double linkMegabits) {

    /** Creates a host with a network link of unknown bandwidth. */
    public Host(String name, FailureDomain failureDomain, String peerAddress, boolean leaving) {
        this(name, failureDomain, peerAddress, leaving, 0);
    }
}
