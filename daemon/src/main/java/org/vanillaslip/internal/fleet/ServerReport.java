package org.vanillaslip.internal.fleet;

/**
 * What another host tells of a server.
 *
 * @param startedAtMillis start of the server's life that the report is about
 */
record ServerReport(String instance, long startedAtMillis, ServerLoadReport load) {}
