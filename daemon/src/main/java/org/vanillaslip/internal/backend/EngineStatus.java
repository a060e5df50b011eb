package org.vanillaslip.internal.backend;

import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.placement.ServerReport;

/** Status report and load of a backend server. */
public record EngineStatus(ServerReport report, ServerLoad load) {}
