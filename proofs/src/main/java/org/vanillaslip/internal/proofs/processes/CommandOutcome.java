package org.vanillaslip.internal.proofs.processes;

/** How a run of the operators' tool ended. */
public record CommandOutcome(int exitCode, String output) {}
