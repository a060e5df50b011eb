package org.vanillaslip.internal.quota;

/**
 * What a relay reports of a replicated bucket for several hosts.
 *
 * @param admitted tokens that the hosts have admitted since the relay's start
 * @param demandPerSecond tokens per second that callers ask of the hosts
 * @param level level of the bucket as the relay knows it
 * @param hosts number of hosts
 * @param silentDemandPerSecond the part of the demand that belongs to hosts that the relay does not
 *     hear
 */
public record BucketSummary(
        long admitted, long demandPerSecond, long level, int hosts, long silentDemandPerSecond) {}
