package org.vanillaslip.internal.fleet;

import org.vanillaslip.messages.DemandReport;

/** The last demand report of a host. */
record HostDemand(DemandReport report, long receivedNanos) {}
