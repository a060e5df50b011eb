package org.vanillaslip.internal.admission;

/** Estimate of the quota tokens with which a request is charged before it runs. */
public final class TokenEstimate {

    /** Common tokenizers yield about four characters per token on English text. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Charge for a call of a plain service, which reports no token usage. */
    public static final long PLAIN_CALL_TOKENS = 1;

    private TokenEstimate() {}

    /** Returns the estimated tokens of the prompt plus the maximum of the completion. */
    public static long of(String prompt, long maximumTokens) {
        long promptTokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN;
        return Math.max(1, promptTokens + maximumTokens);
    }
}
