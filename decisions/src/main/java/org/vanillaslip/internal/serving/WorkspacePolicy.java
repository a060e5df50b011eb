package org.vanillaslip.internal.serving;

import java.util.OptionalInt;
import org.vanillaslip.Workspace;

/**
 * Priority and rate limit of a workspace.
 *
 * @param priority overrides the priority of the route
 * @param ratePerSecond rate limit in units per second over all hosts; 0 for no limit
 * @param burst number of units that may exceed the rate
 * @param countsTokens whether the unit is a token; otherwise it is a call
 * @param defaultCallUnits units charged for a call that doesn't state its tokens
 */
public record WorkspacePolicy(
        Workspace workspace,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long defaultCallUnits) {

    /** Returns whether the workspace has a rate limit. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
