package org.vanillaslip.internal.admission;

import java.util.Optional;
import org.vanillaslip.Workspace;

/**
 * The origin of a request.
 *
 * @param workspace empty on an open route
 * @param keyDigest empty on an open route
 */
public record Caller(Optional<Workspace> workspace, Optional<String> keyDigest) {

    /** Returns the workspace, or one without a name that all callers of open routes share. */
    public Workspace accountedWorkspace() {
        return workspace.orElseGet(() -> new Workspace(""));
    }
}
