package org.vanillaslip.internal.scaling;

/**
 * Number of servers that a pool needs in the failure domains that are heard from.
 *
 * @param expectedCalls concurrent calls that are expected when a new server is ready
 * @param forCalls servers that these calls need
 * @param forModels servers that can hold the models that callers asked for recently
 * @param forConfiguredModels servers that can hold all configured models, while the demand is not
 *     known yet; 0 afterwards
 * @param replacements servers that leave at short notice and still count in the ordered number
 */
public record ServerNeed(
        double expectedCalls,
        double forCalls,
        double forModels,
        double forConfiguredModels,
        int replacements) {

    static final ServerNeed NONE = new ServerNeed(0, 0, 0, 0, 0);

    /** Returns the number of servers. */
    public double total() {
        return Math.max(Math.max(forCalls, forModels), forConfiguredModels) + replacements;
    }

    ServerCountReason reason() {
        if (replacements > 0) {
            return ServerCountReason.LEAVING;
        }
        if (forConfiguredModels > Math.max(forCalls, forModels)) {
            return ServerCountReason.CONFIGURED_MODELS;
        }
        return forCalls >= forModels ? ServerCountReason.CALLS : ServerCountReason.MODELS;
    }
}
