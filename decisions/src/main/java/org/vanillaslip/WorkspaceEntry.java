package org.vanillaslip;

import java.util.Set;

/**
 * Configuration of a workspace.
 *
 * @param plan name of the plan
 * @param keyDigests lower-case hexadecimal SHA-256 digests of the valid keys
 */
public record WorkspaceEntry(String name, String plan, Set<String> keyDigests)
        implements ConfigurationItem {

    /** Copies the set to make the record immutable. */
    public WorkspaceEntry {
        keyDigests = Set.copyOf(keyDigests);
    }

    /** Returns the configured workspace. */
    public Workspace workspace() {
        return new Workspace(name);
    }
}
