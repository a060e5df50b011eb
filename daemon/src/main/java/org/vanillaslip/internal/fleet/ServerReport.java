package org.vanillaslip.internal.fleet;

/**
 * What another host tells of a server.
 *
 * @param bornMillis start of the server's life that the report is about
 */
record ServerReport(String instance, long bornMillis, ServerLoadReport load) {}
