package org.vanillaslip.internal.fleet;

/**
 * A server's own report. Its values lag by some hundred milliseconds.
 *
 * @param running requests that run
 * @param queued requests that wait at the server
 */
public record ServerLoadReport(ServerModelState modelState, int running, int queued) {}
