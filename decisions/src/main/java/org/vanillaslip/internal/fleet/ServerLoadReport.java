package org.vanillaslip.internal.fleet;

/**
 * Load report of a server. Its values lag by a few hundred milliseconds.
 *
 * @param running number of running requests
 * @param queued number of requests in the server's queue
 */
public record ServerLoadReport(ServerModelState modelState, int running, int queued) {}
