package org.vanillaslip.internal.speed;

/**
 * One start of a server whose event gaps are measured.
 *
 * @param pool name of the pool, within which speeds are compared
 * @param bornMillis time of the start
 */
public record MeasuredServer(String pool, String instance, long bornMillis) {}
