package org.vanillaslip.internal.gateway;

import org.vanillaslip.Workspace;

/** Tokens that were charged by estimate and are settled after the request. */
public record QuotaCharge(Workspace workspace, long tokens) {}
