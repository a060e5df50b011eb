package org.vanillaslip.internal.quota;

/**
 * A host's fraction of every limit.
 *
 * @param parts what the host may use, in units of 1 / {@link ShareTable#TOTAL_PARTS}
 * @param heldParts what the host may still be using; more than {@code parts} until the host
 *     confirms a smaller share
 * @param generation generation of the table in which the parts last decreased
 */
public record Share(String host, long parts, long heldParts, long generation) {

    /** Returns whether the host has not yet confirmed a smaller share. */
    public boolean isShrinking() {
        return heldParts > parts;
    }
}
