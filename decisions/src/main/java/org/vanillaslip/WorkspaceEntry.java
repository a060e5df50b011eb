package org.vanillaslip;

import java.util.Set;

/**
 * A workspace with the plan that it holds and the digests of its keys.
 *
 * @param keyDigests lower-case hexadecimal SHA-256 digests of the valid keys
 */
public record WorkspaceEntry(String name, String plan, Set<String> keyDigests)
        implements ConfigurationItem {

    /** Copies the set so that the record is immutable. */
    public WorkspaceEntry {
        keyDigests = Set.copyOf(keyDigests);
    }

    /** Returns the workspace that this entry describes. */
    public Workspace workspace() {
        return new Workspace(name);
    }
}
