package org.vanillaslip.internal.backend.forward;

/**
 * One checked event of a completion.
 *
 * @param token text of the token, empty at the end
 * @param finishReason empty until the end of the complete answer
 */
public record CompletionEvent(
        String token, String finishReason, long promptTokens, long completionTokens) {

    /** Creates a token event. */
    public static CompletionEvent token(String token) {
        return new CompletionEvent(token, "", 0, 0);
    }

    /** Returns whether this event ends the answer. */
    public boolean isLast() {
        return !finishReason.isEmpty();
    }
}
