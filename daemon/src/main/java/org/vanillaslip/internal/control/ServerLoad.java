package org.vanillaslip.internal.control;

import java.time.Duration;

/**
 * The last known report of a backend server, which may be out of date.
 *
 * @param incarnation changes with each start of the server
 * @param uptime reported time since the start of the server plus the age of the report
 * @param running requests that the server is processing for all hosts
 * @param waiting requests that are queued in the server
 */
public record ServerLoad(String incarnation, Duration uptime, int running, int waiting) {}
