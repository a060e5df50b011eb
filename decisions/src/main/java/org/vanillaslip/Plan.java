package org.vanillaslip;

import java.util.Set;

/**
 * Models, adapters and token rate that a workspace with this plan may use.
 *
 * @param models names of the allowed base models
 * @param adapters names of the allowed adapters
 * @param tokensPerSecond token rate of each workspace, over all hosts
 * @param burstTokens maximum number of tokens that each workspace may use at once, over all hosts
 */
public record Plan(
        String name,
        Set<String> models,
        Set<String> adapters,
        long tokensPerSecond,
        long burstTokens)
        implements ConfigurationItem {

    /** Copies the sets to make the record immutable. */
    public Plan {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
