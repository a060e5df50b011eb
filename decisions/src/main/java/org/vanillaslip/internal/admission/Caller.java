package org.vanillaslip.internal.admission;

import java.util.Optional;
import org.vanillaslip.Workspace;

/**
 * The sender of a request.
 *
 * @param workspace workspace of the key; empty on an open route
 * @param keyDigest SHA-256 digest of the key; empty on an open route
 */
public record Caller(Optional<Workspace> workspace, Optional<String> keyDigest) {

    /** Returns the workspace, or an unnamed one that all callers of open routes share. */
    public Workspace accountedWorkspace() {
        return workspace.orElseGet(() -> new Workspace(""));
    }
}
