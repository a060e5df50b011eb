package org.vanillaslip.internal.proofs.processes;

/** How a run of the operators' tool ended. */
public record CommandResult(int exitCode, String output) {}
