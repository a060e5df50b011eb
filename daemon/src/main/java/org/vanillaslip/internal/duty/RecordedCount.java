package org.vanillaslip.internal.duty;

/**
 * Number of servers that was recorded before it was sent.
 *
 * @param term term of the lease holder that decided it
 */
record RecordedCount(int servers, long term) {}
