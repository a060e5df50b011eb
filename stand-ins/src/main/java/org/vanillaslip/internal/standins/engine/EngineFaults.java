package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Faults of the stand-in engine, set by {@code POST /faults}. Zero and false disable a fault.
 *
 * @param target affected kind of calls: {@code completions}, {@code orders}, {@code status} or
 *     {@code all}; empty means {@code completions}
 * @param breakAfterTokens the connection is closed after this many tokens of a response
 * @param silentAfterTokens nothing is sent after this many tokens, not even keep-alive comments
 * @param wrongRequestId responses carry the id of another request
 * @param refuseStatus HTTP status with which affected calls are refused
 * @param slowMillis delay before an affected call is handled
 * @param dropBefore the connection is closed before the call is handled
 * @param dropAfter the connection is closed after the call has taken effect
 * @param times number of affected calls; 0 means no limit
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineFaults(
        String target,
        int breakAfterTokens,
        int silentAfterTokens,
        boolean wrongRequestId,
        int refuseStatus,
        long slowMillis,
        boolean dropBefore,
        boolean dropAfter,
        int times) {

    /** No faults. */
    public static final EngineFaults NONE =
            new EngineFaults("completions", 0, 0, false, 0, 0, false, false, 0);

    /** Returns whether calls of the given kind are affected. */
    boolean affects(String kind) {
        String affected = target == null || target.isEmpty() ? "completions" : target;
        return affected.equals("all") || affected.equals(kind);
    }
}
