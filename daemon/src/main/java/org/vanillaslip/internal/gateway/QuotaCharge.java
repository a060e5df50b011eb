package org.vanillaslip.internal.gateway;

import org.vanillaslip.Workspace;

/** Estimated tokens that were charged for a request and are settled after it. */
public record QuotaCharge(Workspace workspace, long tokens) {}
