package org.vanillaslip.internal.proofs.loads;

/**
 * Calls that arrive in a run.
 *
 * @param urgentPerSecond calls for the busy models
 * @param patientPerSecond calls for all rare models, evenly
 * @param burstFactor factor on the patient calls between second 10 and 16
 * @param shiftSeconds time after which other models become busy; 0 for never
 */
public record LoadPattern(
        String name,
        double urgentPerSecond,
        double patientPerSecond,
        double burstFactor,
        int shiftSeconds) {}
