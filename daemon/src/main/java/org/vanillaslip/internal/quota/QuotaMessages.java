package org.vanillaslip.internal.quota;

import java.util.List;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.GrantReport;
import org.vanillaslip.messages.QuotaGrant;
import org.vanillaslip.messages.QuotaRequest;

/** Converts grants and usage reports to and from messages. */
final class QuotaMessages {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private QuotaMessages() {}

    static Envelope.Builder request(
            String limit, long tokens, long reserve, boolean collect, List<GrantUsage> usages) {
        QuotaRequest.Builder request =
                QuotaRequest.newBuilder()
                        .setLimit(limit)
                        .setTokens(tokens)
                        .setReserveTokens(reserve)
                        .setCollect(collect);
        for (GrantUsage usage : usages) {
            request.addReports(
                    GrantReport.newBuilder()
                            .setGrantId(usage.grantId())
                            .setSpentTokens(usage.spent())
                            .setReturnedTokens(usage.returned())
                            .setSequence(usage.sequence()));
        }
        return Envelope.newBuilder().setQuotaRequest(request);
    }

    static List<GrantUsage> usages(QuotaRequest request) {
        return request.getReportsList().stream()
                .map(
                        report ->
                                new GrantUsage(
                                        report.getGrantId(),
                                        report.getSpentTokens(),
                                        report.getReturnedTokens(),
                                        report.getSequence()))
                .toList();
    }

    /**
     * Rounds the validity down to whole milliseconds, so that the borrower's grant ends no later.
     */
    static Envelope.Builder grant(Grant grant, long retryAfterMillis) {
        return Envelope.newBuilder()
                .setQuotaGrant(
                        QuotaGrant.newBuilder()
                                .setGrantId(grant.id())
                                .setTokens(grant.amount())
                                .setValidityMillis((int) (grant.validityNanos() / NANOS_PER_MILLI))
                                .setRetryAfterMillis((int) Math.min(retryAfterMillis, 60_000)));
    }

    static Grant grant(QuotaGrant message) {
        return new Grant(
                message.getGrantId(),
                message.getTokens(),
                Integer.toUnsignedLong(message.getValidityMillis()) * NANOS_PER_MILLI);
    }
}
