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
 * Asks other failure domains for a model that this one cannot serve: its servers are drained, have
 * no room, or no replica is decided for it.
 */
final class RemoteDomainClient {

    /** Two domains bound the wait when links are slow; more rarely have room if two have not. */
    private static final int MOST_DOMAINS = 2;

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ShardContexts mContexts;
    private final PeerLinks mPeers;
    private final RemoteReplicas mReplicas;
    private final LongSupplier mNow;
    private final PlacementLog mLog;
    private final RendezvousRanking mRanking = new RendezvousRanking();

    RemoteDomainClient(
            ShardContexts contexts,
            PeerLinks peers,
            RemoteReplicas replicas,
            LongSupplier now,
            PlacementLog log) {
        mContexts = contexts;
        mPeers = peers;
        mReplicas = replicas;
        mNow = now;
        mLog = log;
    }

    /** Asks one host in each of the best domains until one accepts. */
    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        return Flux.fromIterable(hosts(model))
                .concatMap(host -> ask(host, model, wait), 1)
                .takeUntil(Either::isRight)
                .last(ActivationClient.unreachable(model));
    }

    void sendArrivals(ModelName model, int arrivals) {
        hosts(model).stream()
                .findFirst()
                .ifPresent(
                        host ->
                                mPeers.send(
                                        host,
                                        ActivationMessages.request(
                                                model, Duration.ZERO, arrivals)));
    }

    private Mono<Either<Refusal, Duration>> ask(String host, ModelName model, Duration wait) {
        long asked = mNow.getAsLong();
        return mPeers.request(host, ActivationMessages.request(model, wait, 0), TIMEOUT)
                .map(
                        reply ->
                                reply.isRight()
                                        ? answered(host, model, reply.get(), asked)
                                        : ActivationClient.unreachable(model));
    }

    private Either<Refusal, Duration> answered(
            String host, ModelName model, Envelope reply, long asked) {
        Either<Refusal, Duration> answer = ActivationMessages.answer(reply);
        if (answer.isRight()) {
            mReplicas.put(model, reply.getActivationReply().getReplicasList(), asked);
            mLog.remote(model, host, answer.get());
        }
        return answer;
    }

    /** Returns a live host of each domain that may hold the model, the preferred domain first. */
    private List<String> hosts(ModelName model) {
        return mContexts.configuration().stream()
                .flatMap(configuration -> domains(configuration, model))
                .flatMap(domain -> host(domain, model).stream())
                .limit(MOST_DOMAINS)
                .toList();
    }

    private Stream<String> domains(Configuration configuration, ModelName name) {
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

    private Optional<String> host(String domain, ModelName model) {
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
