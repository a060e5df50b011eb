package org.vanillaslip.internal.backend;

import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.placement.ServerReport;

/** A status report of a backend server, with its load figures. */
public record EngineStatus(ServerReport report, ServerLoad load) {}
