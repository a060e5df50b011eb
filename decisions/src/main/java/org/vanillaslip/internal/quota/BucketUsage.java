package org.vanillaslip.internal.quota;

/**
 * Report of one host about a replicated bucket.
 *
 * @param admitted tokens that the host has admitted since it started
 * @param demandPerSecond tokens per second that callers request from the host
 * @param level level of the bucket according to the host
 * @param levelKnown whether the level counts all usage; false on a host that has just started
 */
public record BucketUsage(long admitted, long demandPerSecond, long level, boolean levelKnown) {}
