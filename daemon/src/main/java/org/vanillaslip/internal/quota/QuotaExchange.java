package org.vanillaslip.internal.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.QuotaGrant;
import org.vanillaslip.messages.QuotaRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Borrows tokens from other hosts, through the coordinator of the limit or from the owners of the
 * shares, and answers the requests of other hosts.
 */
final class QuotaExchange {

    /** An owner in another failure domain answers within a few milliseconds. */
    private static final Duration OWNER_TIMEOUT = Duration.ofMillis(150);

    /** A coordinator requests tokens from the owners once before it answers. */
    private static final Duration COORDINATOR_TIMEOUT = Duration.ofMillis(400);

    private final String mHost;
    private final MonotonicClock mClock;
    private final PeerLinks mLinks;
    private final EventLog mLog;

    QuotaExchange(String host, MonotonicClock clock, PeerLinks links, EventLog log) {
        mHost = host;
        mClock = clock;
        mLinks = links;
        mLog = log;
    }

    /** Borrows tokens; emits true if at least the needed amount was granted. */
    Mono<Boolean> borrow(QuotaLimit limit, long needed, long reserve) {
        Optional<String> coordinator = remoteCoordinator(limit);
        if (coordinator.isEmpty()) {
            return collectDirectly(limit, needed, reserve, "");
        }
        String host = coordinator.get();
        long sentAt = mClock.nowNanos();
        return mLinks.request(
                        host, request(limit, host, needed, reserve, true), COORDINATOR_TIMEOUT)
                .flatMap(
                        reply ->
                                reply.isRight()
                                        ? Mono.just(
                                                acceptGrant(
                                                        limit, host, reply.get(), needed, sentAt))
                                        : collectWithoutCoordinator(limit, host, needed, reserve));
    }

    /** Applies the usage reports of another host and answers its request for tokens. */
    Mono<Envelope.Builder> answer(QuotaLimit limit, String borrower, QuotaRequest request) {
        long now = mClock.nowNanos();
        QuotaMessages.usages(request).forEach(usage -> limit.account().apply(usage, now));
        long requested = request.getTokens() + request.getReserveTokens();
        if (requested == 0) {
            return Mono.empty();
        }
        Mono<Boolean> collected = Mono.just(true);
        long missing = requested - limit.account().available(now);
        if (request.getCollect() && missing > 0) {
            long needed = request.getTokens() - limit.account().available(now);
            collected = collect(limit, needed, missing - Math.max(0, needed), borrower);
        }
        return collected.map(enough -> grant(limit, borrower, request, requested));
    }

    /** Reports to each granter the tokens spent and returned since the last report. */
    void report(QuotaLimit limit) {
        for (String granter : limit.account().granters(mClock.nowNanos())) {
            mLinks.send(granter, request(limit, granter, 0, 0, false));
        }
    }

    private Envelope.Builder grant(
            QuotaLimit limit, String borrower, QuotaRequest request, long requested) {
        long now = mClock.nowNanos();
        Grant grant = limit.account().grant(requested, now);
        long missing = Math.max(0, request.getTokens() - grant.amount());
        if (request.getCollect()) {
            limit.recordUnmetDemand(borrower, missing, now);
        }
        long retryAfter =
                missing == 0
                        ? 0
                        : limit.estimate().refillNanos(missing) + limit.backlogNanos(borrower, now);
        return QuotaMessages.grant(grant, millis(retryAfter));
    }

    private Mono<Boolean> collectWithoutCoordinator(
            QuotaLimit limit, String coordinator, long needed, long reserve) {
        mLog.log(
                QuotaEvent.COORDINATOR_UNREACHABLE,
                LogField.field("limit", limit.name()),
                LogField.field("host", coordinator));
        return collectDirectly(limit, needed, reserve, coordinator);
    }

    private Mono<Boolean> collectDirectly(
            QuotaLimit limit, long needed, long reserve, String excludedHost) {
        return collect(limit, needed, reserve, excludedHost)
                .doOnNext(enough -> recordResult(limit, enough, limit.backlogNanos(mHost, now())));
    }

    private void recordResult(QuotaLimit limit, boolean enough, long backlogNanos) {
        if (enough) {
            limit.estimate().recordGranted();
        } else {
            limit.estimate().recordExhausted(backlogNanos, now());
        }
    }

    private long now() {
        return mClock.nowNanos();
    }

    /** Borrows from the owners into this host's account; emits true if the needed amount came. */
    private Mono<Boolean> collect(
            QuotaLimit limit, long needed, long reserve, String excludedHost) {
        long now = mClock.nowNanos();
        List<String> hosts = new ArrayList<>(mLinks.liveHosts());
        hosts.remove(excludedHost);
        Collection<OwnerShare> owners = limit.owners(hosts);
        long amount = Math.max(0, needed) + reserve;
        return Flux.fromIterable(limit.requestPlanner().plan(1, amount, owners, now))
                .flatMap(
                        tokenRequest ->
                                requestFromOwner(limit, tokenRequest, owner(owners, tokenRequest)))
                .reduce(0L, Long::sum)
                .map(received -> received >= Math.max(1, needed));
    }

    private Mono<Long> requestFromOwner(
            QuotaLimit limit, TokenRequest tokenRequest, OwnerShare owner) {
        long sentAt = mClock.nowNanos();
        Envelope.Builder request =
                request(limit, tokenRequest.owner(), tokenRequest.amount(), 0, false);
        return mLinks.request(tokenRequest.owner(), request, OWNER_TIMEOUT)
                .map(reply -> handleOwnerReply(limit, tokenRequest, owner, sentAt, reply));
    }

    private long handleOwnerReply(
            QuotaLimit limit,
            TokenRequest tokenRequest,
            OwnerShare owner,
            long sentAt,
            Either<PeerFailure, Envelope> reply) {
        long now = mClock.nowNanos();
        if (reply.isLeft()) {
            limit.requestPlanner().recordFailure(owner, now);
            return 0;
        }
        Grant grant = QuotaMessages.grant(reply.get().getQuotaGrant());
        limit.requestPlanner().recordGrant(owner, tokenRequest.amount(), grant.amount(), now);
        limit.account().accept(tokenRequest.owner(), grant, sentAt, now);
        return grant.amount();
    }

    private boolean acceptGrant(
            QuotaLimit limit, String granter, Envelope reply, long needed, long sentAt) {
        QuotaGrant message = reply.getQuotaGrant();
        limit.account().accept(granter, QuotaMessages.grant(message), sentAt, mClock.nowNanos());
        boolean enough = message.getTokens() >= Math.max(1, needed);
        long retryAfter = Duration.ofMillis(message.getRetryAfterMillis()).toNanos();
        long refill = limit.estimate().refillNanos(needed - message.getTokens());
        recordResult(limit, enough, Math.max(0, retryAfter - refill));
        return enough;
    }

    private Optional<String> remoteCoordinator(QuotaLimit limit) {
        Set<String> live = mLinks.liveHosts();
        List<String> hosts = new ArrayList<>(live);
        hosts.add(mHost);
        return RendezvousHash.choose(limit.name(), hosts).filter(host -> !host.equals(mHost));
    }

    private Envelope.Builder request(
            QuotaLimit limit, String host, long tokens, long reserve, boolean collect) {
        List<GrantUsage> usages = limit.account().reports(host, mClock.nowNanos());
        return QuotaMessages.request(limit.name(), tokens, reserve, collect, usages);
    }

    private static OwnerShare owner(Collection<OwnerShare> owners, TokenRequest tokenRequest) {
        return owners.stream()
                .filter(share -> share.host().equals(tokenRequest.owner()))
                .findFirst()
                .orElseThrow();
    }

    private static long millis(long nanos) {
        return (nanos + 999_999) / 1_000_000;
    }
}
