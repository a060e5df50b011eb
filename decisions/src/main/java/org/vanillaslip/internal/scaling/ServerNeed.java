package org.vanillaslip.internal.scaling;

/**
 * Number of servers that a pool needs in the failure domains that are heard from.
 *
 * @param expectedCalls concurrent calls that are expected when a new server is ready
 * @param forCalls servers that these calls need
 * @param forModels servers that can hold the models that callers asked for recently
 * @param replacements servers that leave at short notice and still count in the ordered number
 */
public record ServerNeed(
        double expectedCalls, double forCalls, double forModels, int replacements) {

    static final ServerNeed NONE = new ServerNeed(0, 0, 0, 0);

    /** Returns the number of servers. */
    public double total() {
        return Math.max(forCalls, forModels) + replacements;
    }

    ServerCountReason reason() {
        if (replacements > 0) {
            return ServerCountReason.LEAVING;
        }
        return forCalls >= forModels ? ServerCountReason.CALLS : ServerCountReason.MODELS;
    }
}
