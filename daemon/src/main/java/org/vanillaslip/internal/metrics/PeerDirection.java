package org.vanillaslip.internal.metrics;

/** Direction of a message between hosts, seen from this host. */
public enum PeerDirection {
    SENT,
    RECEIVED
}
