package org.vanillaslip.internal.quota;

/**
 * Report of a relay about a replicated bucket, aggregated over several hosts.
 *
 * @param admitted tokens that the hosts have admitted since the relay started
 * @param demandPerSecond tokens per second that callers request from the hosts
 * @param level level of the bucket according to the relay
 * @param hosts number of hosts
 * @param silentDemandPerSecond part of the demand that belongs to hosts from which the relay
 *     receives no reports
 * @param levelKnown whether the level counts all usage; false on a host that has just started
 */
public record BucketSummary(
        long admitted,
        long demandPerSecond,
        long level,
        int hosts,
        long silentDemandPerSecond,
        boolean levelKnown) {}
