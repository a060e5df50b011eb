package org.vanillaslip.internal.serving;

import java.util.OptionalInt;
import org.vanillaslip.Workspace;

/**
 * What a workspace may use.
 *
 * @param priority goes before the priority of the route
 * @param ratePerSecond units per second over all hosts; 0 for no limit
 * @param burst units beyond the rate
 * @param countsTokens whether the unit is a token; otherwise it is a call
 * @param defaultCallUnits charge of a call that names no tokens
 */
public record WorkspacePolicy(
        Workspace workspace,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long defaultCallUnits) {

    /** Returns whether the workspace has a limit. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
