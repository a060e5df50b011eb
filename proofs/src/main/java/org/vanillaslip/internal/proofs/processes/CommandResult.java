package org.vanillaslip.internal.proofs.processes;

/** The exit code and the output of a run of the operators' command-line tool. */
public record CommandResult(int exitCode, String output) {}
