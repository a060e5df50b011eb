package org.vanillaslip.internal.fleet;

import org.vanillaslip.messages.DemandReport;

/** The last demand report of a host and the time of its arrival. */
record HostDemand(DemandReport report, long receivedNanos) {}
