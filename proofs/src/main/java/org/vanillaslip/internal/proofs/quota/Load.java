package org.vanillaslip.internal.proofs.quota;

/**
 * Requests of one workspace.
 *
 * @param rate tokens per second of the plan
 * @param tokens tokens of an average request
 * @param factor demand as a multiple of the rate; 0 for bursts after quiet stretches
 */
record Load(String workspace, long rate, int tokens, double factor) {

    private static final int BURST_SECONDS = 10;

    boolean isSteady() {
        return factor > 0 && factor <= 1;
    }

    boolean isBursting() {
        return factor == 0;
    }

    boolean isOverRate() {
        return factor > 1;
    }

    long burst() {
        return rate * BURST_SECONDS;
    }
}
