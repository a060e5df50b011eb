package org.vanillaslip;

import java.util.Set;

/**
 * What workspaces with this plan may use.
 *
 * @param models names of allowed base models
 * @param adapters names of allowed adapters
 * @param tokensPerSecond rate over all hosts together
 * @param burstTokens most tokens at once over all hosts together
 */
public record Plan(
        String name,
        Set<String> models,
        Set<String> adapters,
        long tokensPerSecond,
        long burstTokens)
        implements ConfigurationItem {

    /** Copies the sets so that the record is immutable. */
    public Plan {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
