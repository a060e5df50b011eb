package org.vanillaslip.internal.routing;

/**
 * The chosen backend server.
 *
 * @param reason why it was chosen, for the log
 */
public record Choice(Candidate candidate, String reason) {}
