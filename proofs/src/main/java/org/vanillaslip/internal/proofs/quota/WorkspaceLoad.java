package org.vanillaslip.internal.proofs.quota;

/**
 * Request load of one workspace.
 *
 * @param tokensPerSecond rate limit of the plan
 * @param meanRequestTokens mean size of a request
 * @param demandFactor demand as a multiple of the rate limit; 0 for bursts after idle periods
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
