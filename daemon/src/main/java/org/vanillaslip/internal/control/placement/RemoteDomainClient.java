package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.membership.RendezvousRanking;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.ShardSelection;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Requests a model from other failure domains when this one cannot serve it because its servers are
 * drained or have no capacity, or because no replica is planned for it.
 */
final class RemoteDomainClient {

    /**
     * Limits the wait on slow links; if two domains have no capacity, further ones rarely have any.
     */
    private static final int MAX_DOMAINS = 2;

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ShardContexts mContexts;
    private final PeerLinks mPeers;
    private final RemoteReplicas mReplicas;
    private final LongSupplier mNowNanos;
    private final PlacementLog mLog;
    private final RendezvousRanking mRanking = new RendezvousRanking();

    RemoteDomainClient(
            ShardContexts contexts,
            PeerLinks peers,
            RemoteReplicas replicas,
            LongSupplier nowNanos,
            PlacementLog log) {
        mContexts = contexts;
        mPeers = peers;
        mReplicas = replicas;
        mNowNanos = nowNanos;
        mLog = log;
    }

    /** Requests the model from one host of each preferred domain in turn until one accepts. */
    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        return Flux.fromIterable(targetHosts(model))
                .concatMap(host -> requestActivation(host, model, wait), 1)
                .takeUntil(Either::isRight)
                .last(ActivationClient.holderUnreachable(model));
    }

    void sendArrivals(ModelName model, int arrivals) {
        targetHosts(model).stream()
                .findFirst()
                .ifPresent(
                        host ->
                                mPeers.send(
                                        host,
                                        ActivationMessages.request(
                                                model, Duration.ZERO, arrivals)));
    }

    private Mono<Either<Refusal, Duration>> requestActivation(
            String host, ModelName model, Duration wait) {
        long requestedNanos = mNowNanos.getAsLong();
        return mPeers.request(host, ActivationMessages.request(model, wait, 0), TIMEOUT)
                .map(
                        reply ->
                                reply.isRight()
                                        ? handleReply(host, model, reply.get(), requestedNanos)
                                        : ActivationClient.holderUnreachable(model));
    }

    private Either<Refusal, Duration> handleReply(
            String host, ModelName model, Envelope reply, long requestedNanos) {
        Either<Refusal, Duration> result = ActivationMessages.parseReply(reply);
        if (result.isRight()) {
            mReplicas.put(model, reply.getActivationReply().getReplicasList(), requestedNanos);
            mLog.logRemoteActivation(model, host, result.get());
        }
        return result;
    }

    /** Returns a live host of each domain that can load the model, in order of preference. */
    private List<String> targetHosts(ModelName model) {
        return mContexts.configuration().stream()
                .flatMap(configuration -> rankedDomains(configuration, model))
                .flatMap(domain -> targetHost(domain, model).stream())
                .limit(MAX_DOMAINS)
                .toList();
    }

    private Stream<String> rankedDomains(Configuration configuration, ModelName name) {
        Model model = configuration.models().get(name.model());
        if (model == null) {
            return Stream.empty();
        }
        List<String> candidates =
                configuration.backendServers().values().stream()
                        .filter(server -> !configuration.isDrained(server))
                        .map(BackendServer::failureDomain)
                        .distinct()
                        .filter(domain -> !domain.equals(mContexts.domain()))
                        .filter(
                                domain ->
                                        ShardSelection.of(configuration, domain, model).isPresent())
                        .map(FailureDomain::name)
                        .toList();
        return mRanking.rank(name.model(), candidates).stream();
    }

    private Optional<String> targetHost(String domain, ModelName model) {
        Set<String> live = mPeers.liveHosts();
        List<String> hosts =
                mContexts.hosts().stream()
                        .filter(host -> host.failureDomain().name().equals(domain))
                        .filter(host -> !host.leaving())
                        .map(Host::name)
                        .filter(live::contains)
                        .toList();
        return mRanking.first(model.model(), hosts);
    }
}
