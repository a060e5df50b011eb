package org.vanillaslip.internal.backend.forward;

/**
 * One validated event of a completion stream.
 *
 * @param token text of the token, empty in the last event
 * @param finishReason empty except in the last event
 */
public record CompletionEvent(
        String token, String finishReason, long promptTokens, long completionTokens) {

    /** Creates a token event. */
    public static CompletionEvent token(String token) {
        return new CompletionEvent(token, "", 0, 0);
    }

    /** Returns whether this event completes the stream. */
    public boolean isLast() {
        return !finishReason.isEmpty();
    }
}
