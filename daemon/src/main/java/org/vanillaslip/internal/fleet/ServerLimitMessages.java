package org.vanillaslip.internal.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.vanillaslip.internal.routing.SendPermits;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.QuotaGrant;
import org.vanillaslip.messages.QuotaRequest;
import org.vanillaslip.messages.ServerLimit;
import org.vanillaslip.messages.ServerLimits;

/**
 * Converts limits of servers, and the lending of sends, to and from messages between hosts. Sends
 * are lent with the messages of quotas: the limit is that of a server, one token is one send.
 */
final class ServerLimitMessages {

    static final Envelope.BodyCase NEWS = Envelope.BodyCase.SERVER_LIMITS;
    static final Envelope.BodyCase REQUEST = Envelope.BodyCase.QUOTA_REQUEST;

    /** Amounts in quota messages are in micro-tokens. */
    private static final long ONE_SEND = 1_000_000;

    private ServerLimitMessages() {}

    static Envelope.Builder news(LimitNews news) {
        return Envelope.newBuilder()
                .setServerLimits(ServerLimits.newBuilder().addLimits(toMessage(news)));
    }

    static List<LimitNews> news(Envelope message) {
        return message.getServerLimits().getLimitsList().stream()
                .map(ServerLimitMessages::fromMessage)
                .toList();
    }

    static Envelope.Builder request(SendRequest request) {
        return Envelope.newBuilder()
                .setQuotaRequest(
                        QuotaRequest.newBuilder()
                                .setLimit(request.startId())
                                .setTokens(ONE_SEND)
                                .setWithinMillis(toMillis(request.withinMillis()))
                                .setHops(request.hops())
                                .setServerLimit(toMessage(request.limit())));
    }

    /** Returns the request; empty if it is about another kind of limit. */
    static Optional<SendRequest> request(Envelope message) {
        QuotaRequest request = message.getQuotaRequest();
        return request.hasServerLimit()
                ? Optional.of(
                        new SendRequest(
                                request.getLimit(),
                                fromMessage(request.getServerLimit()),
                                Integer.toUnsignedLong(request.getWithinMillis()),
                                request.getHops()))
                : Optional.empty();
    }

    static Envelope.Builder reply(SendReply reply) {
        QuotaGrant.Builder grant = QuotaGrant.newBuilder();
        int delayMillis = toMillis(reply.delayMillis());
        if (reply.granted()) {
            grant.setTokens(ONE_SEND)
                    .setValidityMillis((int) SendPermits.VALIDITY.toMillis())
                    .setUsableAfterMillis(delayMillis);
        } else {
            grant.setRetryAfterMillis(delayMillis);
        }
        return Envelope.newBuilder().setQuotaGrant(grant);
    }

    static SendReply reply(Envelope message) {
        QuotaGrant grant = message.getQuotaGrant();
        boolean granted = grant.getTokens() >= ONE_SEND;
        int delayMillis = granted ? grant.getUsableAfterMillis() : grant.getRetryAfterMillis();
        return new SendReply(granted, Integer.toUnsignedLong(delayMillis));
    }

    private static ServerLimit toMessage(LimitNews news) {
        return ServerLimit.newBuilder()
                .setServer(news.instance())
                .setBornMillis(news.startedAtMillis())
                .setRequestsPerSecond(news.requestsPerSecond().orElse(0))
                .setEnded(news.requestsPerSecond().isEmpty())
                .setAgeMillis(toMillis(news.ageMillis()))
                .build();
    }

    private static LimitNews fromMessage(ServerLimit message) {
        return new LimitNews(
                message.getServer(),
                message.getBornMillis(),
                message.getEnded()
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(message.getRequestsPerSecond()),
                Integer.toUnsignedLong(message.getAgeMillis()));
    }

    private static int toMillis(long millis) {
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }
}
