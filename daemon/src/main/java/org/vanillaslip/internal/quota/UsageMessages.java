package org.vanillaslip.internal.quota;

import java.util.Map;
import java.util.function.Predicate;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.UsageSummary;
import org.vanillaslip.messages.WorkspaceSummary;
import org.vanillaslip.messages.WorkspaceUsage;

/** Converts reports about buckets to messages and back. */
final class UsageMessages {

    private UsageMessages() {}

    static WorkspaceUsage usage(String name, BucketUsage usage) {
        return WorkspaceUsage.newBuilder()
                .setWorkspace(name)
                .setAdmittedTokens(usage.admitted())
                .setDemandTokensPerSecond(usage.demandPerSecond())
                .setLevelTokens(usage.level())
                .setLevelKnown(usage.levelKnown())
                .build();
    }

    static BucketUsage parse(WorkspaceUsage usage) {
        return new BucketUsage(
                usage.getAdmittedTokens(),
                usage.getDemandTokensPerSecond(),
                usage.getLevelTokens(),
                usage.getLevelKnown());
    }

    /** Summarizes the given sources of each bucket. */
    static Envelope.Builder summary(
            Map<String, ReplicatedBucket> buckets, Predicate<String> includes, long nowNanos) {
        UsageSummary.Builder summary = UsageSummary.newBuilder();
        buckets.forEach(
                (name, bucket) -> {
                    BucketSummary bucketSummary = bucket.summarize(includes, nowNanos);
                    summary.addWorkspaces(
                            WorkspaceSummary.newBuilder()
                                    .setWorkspace(name)
                                    .setAdmittedTokens(bucketSummary.admitted())
                                    .setDemandTokensPerSecond(bucketSummary.demandPerSecond())
                                    .setLevelTokens(bucketSummary.level())
                                    .setHosts(bucketSummary.hosts())
                                    .setUnheardTokensPerSecond(
                                            bucketSummary.silentDemandPerSecond())
                                    .setLevelKnown(bucketSummary.levelKnown()));
                });
        return Envelope.newBuilder().setUsageSummary(summary);
    }

    static BucketSummary parse(WorkspaceSummary summary) {
        return new BucketSummary(
                summary.getAdmittedTokens(),
                summary.getDemandTokensPerSecond(),
                summary.getLevelTokens(),
                summary.getHosts(),
                summary.getUnheardTokensPerSecond(),
                summary.getLevelKnown());
    }
}
