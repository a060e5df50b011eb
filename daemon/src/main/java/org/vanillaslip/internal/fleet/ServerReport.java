package org.vanillaslip.internal.fleet;

/**
 * State of a server that another host has sent.
 *
 * @param startedAtMillis start time of the server process that the report is about
 */
record ServerReport(String instance, long startedAtMillis, ServerLoadReport load) {}
