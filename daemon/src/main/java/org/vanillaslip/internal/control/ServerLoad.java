package org.vanillaslip.internal.control;

import java.time.Duration;

/**
 * The last known, lagging report of a backend server.
 *
 * @param incarnation changes with each start of the server
 * @param uptime time since the start as reported plus the age of the report
 * @param running requests that the server runs for all hosts
 * @param waiting requests that wait in the server
 */
public record ServerLoad(String incarnation, Duration uptime, int running, int waiting) {}
