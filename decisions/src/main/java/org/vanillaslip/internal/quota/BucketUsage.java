package org.vanillaslip.internal.quota;

/**
 * What one host reports of a replicated bucket.
 *
 * @param admitted tokens that the host has admitted since its start
 * @param demandPerSecond tokens per second that callers ask of the host
 * @param level level of the bucket as the host knows it
 */
public record BucketUsage(long admitted, long demandPerSecond, long level) {}
