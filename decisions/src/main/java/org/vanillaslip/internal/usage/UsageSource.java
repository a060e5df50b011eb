package org.vanillaslip.internal.usage;

/** A process that counts calls; a host that restarts is another source. */
public record UsageSource(String host, String incarnation) {}
