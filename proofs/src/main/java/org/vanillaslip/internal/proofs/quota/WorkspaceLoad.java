package org.vanillaslip.internal.proofs.quota;

/**
 * Requests of one workspace.
 *
 * @param tokensPerSecond tokens per second of the plan
 * @param meanRequestTokens tokens of an average request
 * @param demandFactor demand as a multiple of the rate; 0 for bursts after quiet stretches
 */
record WorkspaceLoad(
        String workspace, long tokensPerSecond, int meanRequestTokens, double demandFactor) {

    private static final int BURST_SECONDS = 10;

    boolean isSteady() {
        return demandFactor > 0 && demandFactor <= 1;
    }

    boolean isBursting() {
        return demandFactor == 0;
    }

    boolean isOverRate() {
        return demandFactor > 1;
    }

    long burstTokens() {
        return tokensPerSecond * BURST_SECONDS;
    }
}
