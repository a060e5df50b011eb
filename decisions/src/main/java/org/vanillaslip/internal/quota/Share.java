package org.vanillaslip.internal.quota;

/**
 * A host's fraction of every limit.
 *
 * @param parts what the host may use, in parts of {@link ShareTable#TOTAL_PARTS}
 * @param heldParts what the host may still be using: more than its parts until it has confirmed
 * @param generation generation of the table in which the parts last shrank
 */
public record Share(String host, long parts, long heldParts, long generation) {

    /** Returns whether the host has yet to confirm smaller parts. */
    public boolean isShrinking() {
        return heldParts > parts;
    }
}
