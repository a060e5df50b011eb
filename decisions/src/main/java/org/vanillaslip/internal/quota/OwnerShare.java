package org.vanillaslip.internal.quota;

/** The share of a limit that another host owns. */
public record OwnerShare(String host, double ratePerSecond, long capacity) {}
