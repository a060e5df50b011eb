package org.vanillaslip.internal.admission;

/** Quota tokens that a request is charged before it runs. */
public final class TokenEstimate {

    /** Common tokenizers yield about four characters per token on English text. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Charge of one call of a plain service, which reports no tokens. */
    public static final long PLAIN_CALL_TOKENS = 1;

    private TokenEstimate() {}

    /** Returns the estimate for a completion. */
    public static long of(String prompt, long maximumTokens) {
        long promptTokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN;
        return Math.max(1, promptTokens + maximumTokens);
    }
}
