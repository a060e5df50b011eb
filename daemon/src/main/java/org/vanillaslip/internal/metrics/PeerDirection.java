package org.vanillaslip.internal.metrics;

/** Direction of a message between hosts, relative to this host. */
public enum PeerDirection {
    SENT,
    RECEIVED
}
