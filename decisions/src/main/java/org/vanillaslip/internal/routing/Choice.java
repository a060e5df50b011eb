package org.vanillaslip.internal.routing;

/**
 * A chosen backend server.
 *
 * @param reason why the server was chosen, for the log
 */
public record Choice(Candidate candidate, String reason) {}
