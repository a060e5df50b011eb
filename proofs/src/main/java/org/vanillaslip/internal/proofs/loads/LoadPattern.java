package org.vanillaslip.internal.proofs.loads;

/**
 * Rates at which calls arrive during a run.
 *
 * @param urgentPerSecond calls per second for the busy models
 * @param patientPerSecond calls per second for the rare models, distributed evenly
 * @param burstFactor multiplies the rate of patient calls between second 10 and 16
 * @param shiftSeconds interval at which other models become busy; 0 for never
 */
public record LoadPattern(
        String name,
        double urgentPerSecond,
        double patientPerSecond,
        double burstFactor,
        int shiftSeconds) {}
