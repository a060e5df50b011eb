package org.vanillaslip;

/**
 * A machine that runs the daemon, as registered in the platform's host list.
 *
 * @param peerAddress {@code ip:port} on which the host accepts connections from other hosts
 * @param leaving whether the platform has announced that it will stop this host
 */
public record Host(String name, FailureDomain failureDomain, String peerAddress, boolean leaving) {}
