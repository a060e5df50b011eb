package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.backend.EngineStatus;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ActivationRequest;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Sends the demand of this host and of other hosts to the lease holder of the model's shard. */
final class ActivationService {

    private final DecisionLoop mLoop;
    private final ShardContexts mContexts;
    private final ShardTable mShards;
    private final PeerLinks mPeers;
    private final ActivationClient mActivationClient;
    private final Predicate<String> mHolderSilent;
    private final Function<String, Optional<EngineStatus>> mStatusByServer;
    private final Consumer<Order> mOfflineOrderSender;
    private final RemoteDomainClient mRemoteDomains;
    private final LoadedReplicas mLoadedReplicas;
    private final RequestedModels mRequestedModels = new RequestedModels();

    /**
     * Creates a service.
     *
     * @param holderSilent whether a shard's lease holder has been silent for the whole lease
     *     validity
     * @param statusByServer the last status that this host itself read from a server
     * @param offlineOrderSender sends an order from the offline placement set
     * @param remoteDomains requests activations in other failure domains when this one cannot serve
     *     a model
     * @param loadedReplicas describes the replicas of this failure domain to hosts of other domains
     */
    ActivationService(
            DecisionLoop loop,
            ShardContexts contexts,
            ShardTable shards,
            PeerLinks peers,
            Predicate<String> holderSilent,
            Function<String, Optional<EngineStatus>> statusByServer,
            Consumer<Order> offlineOrderSender,
            RemoteDomainClient remoteDomains,
            LoadedReplicas loadedReplicas) {
        mLoop = loop;
        mContexts = contexts;
        mShards = shards;
        mPeers = peers;
        mActivationClient = new ActivationClient(peers);
        mHolderSilent = holderSilent;
        mStatusByServer = statusByServer;
        mOfflineOrderSender = offlineOrderSender;
        mRemoteDomains = remoteDomains;
        mLoadedReplicas = loadedReplicas;
    }

    void recordArrival(ModelName model) {
        mRequestedModels.recordArrival(model);
    }

    void onModelLoaded(ModelName model) {
        mRequestedModels.removeRequest(model);
    }

    void withdraw(ModelName model) {
        mRequestedModels.removeRequest(model);
    }

    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        if (mContexts.configuration().isEmpty()) {
            return refuse(ResultCode.NOT_READY, "This host has no configuration yet.");
        } else if (mShards.model(model).isEmpty()) {
            return refuse(ResultCode.UNKNOWN_MODEL, model.toString());
        }
        mRequestedModels.addRequest(model, mLoop.clock().nowNanos() + wait.toNanos());
        return activateInAnyDomain(model, wait);
    }

    /**
     * Requests the model in this failure domain first, and in others if this one cannot serve it.
     */
    private Mono<Either<Refusal, Duration>> activateInAnyDomain(ModelName model, Duration wait) {
        return activateInOwnDomain(model, wait)
                .flatMap(
                        result ->
                                hasNoBackendServer(result)
                                        ? mRemoteDomains
                                                .activate(model, wait)
                                                .map(other -> other.isRight() ? other : result)
                                        : Mono.just(result));
    }

    private Mono<Either<Refusal, Duration>> activateInOwnDomain(ModelName model, Duration wait) {
        return mShards.usableShardOf(model)
                .map(shard -> requestFromHolder(shard, model, wait))
                .orElseGet(
                        () ->
                                refuse(
                                        ResultCode.NO_BACKEND_SERVER,
                                        "model "
                                                + model
                                                + ": no server of this domain can load it"));
    }

    private static boolean hasNoBackendServer(Either<Refusal, Duration> result) {
        return result.isLeft() && result.getLeft().code() == ResultCode.NO_BACKEND_SERVER;
    }

    /** Handles an activation request of another host. */
    Mono<Envelope.Builder> handle(Envelope envelope) {
        ActivationRequest request = envelope.getActivationRequest();
        ModelName model = ActivationMessages.requestedModel(request);
        int arrivals = Math.min(request.getArrivals(), PollIntervals.MAX_ARRIVALS);
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        return mContexts.isRemote(envelope.getSender())
                ? handleRemote(model, wait, arrivals)
                : handleLocal(model, wait, arrivals);
    }

    private Mono<Envelope.Builder> handleLocal(ModelName model, Duration wait, int arrivals) {
        Optional<String> shard = mShards.shardOf(model);
        if (shard.isEmpty() || !mShards.getOrCreate(shard.get()).holdsLease()) {
            return Mono.just(ActivationMessages.reply(ActivationClient.holderUnreachable(model)));
        }
        mShards.getOrCreate(shard.get()).onArrivals(model, arrivals);
        return wait.isZero()
                ? Mono.empty()
                : Mono.just(ActivationMessages.reply(acceptAsHolder(shard.get(), model, wait)));
    }

    /**
     * Handles a request from another failure domain, which may reach any host here, not only the
     * lease holder.
     */
    private Mono<Envelope.Builder> handleRemote(ModelName model, Duration wait, int arrivals) {
        if (wait.isZero()) {
            forwardArrivalsInOwnDomain(model, arrivals);
            return Mono.empty();
        }
        return activateInOwnDomain(model, wait)
                .map(
                        result -> {
                            Envelope.Builder reply = ActivationMessages.reply(result);
                            reply.getActivationReplyBuilder()
                                    .addAllReplicas(mLoadedReplicas.of(model));
                            return reply;
                        });
    }

    /**
     * Sends arrivals to the lease holders, and repeats activations of models that requests still
     * wait for.
     */
    void sendDemand() {
        mRequestedModels.drainArrivals().forEach(this::forwardArrivals);
        long nowNanos = mLoop.clock().nowNanos();
        for (ModelName model : mRequestedModels.requestedModels(nowNanos)) {
            // A new lease holder does not know the requests that its predecessor received.
            Duration remaining = Duration.ofNanos(mRequestedModels.deadlineNanos(model) - nowNanos);
            activateInAnyDomain(model, remaining).subscribe();
        }
    }

    private Mono<Either<Refusal, Duration>> requestFromHolder(
            String shard, ModelName model, Duration wait) {
        ShardRuntime runtime = mShards.getOrCreate(shard);
        if (runtime.holdsLease()) {
            return Mono.just(acceptAsHolder(shard, model, wait));
        }
        Optional<String> holder = runtime.holder().filter(mPeers.liveHosts()::contains);
        if (holder.isPresent()) {
            return mActivationClient.requestActivation(holder.get(), model, wait);
        }
        return Mono.just(activateOffline(shard, model));
    }

    private Either<Refusal, Duration> acceptAsHolder(String shard, ModelName model, Duration wait) {
        ShardRuntime runtime = mShards.getOrCreate(shard);
        Either<Refusal, Duration> estimate =
                mContexts
                        .of(shard)
                        .map(context -> runtime.estimateWait(context, model))
                        .orElseGet(() -> ActivationClient.holderUnreachable(model));
        // A refused model stays requested for a short time: other requests may still wait for it,
        // and a refused caller may retry.
        runtime.onModelRequested(model, RequestLifetime.of(wait));
        return estimate;
    }

    private Either<Refusal, Duration> activateOffline(String shard, ModelName model) {
        ShardRuntime runtime = mShards.getOrCreate(shard);
        if (runtime.platformReachable() || !mHolderSilent.test(shard)) {
            return ActivationClient.holderUnreachable(model);
        }
        Optional<Order> order = OfflineOrderSelector.selectOrder(runtime, model, mStatusByServer);
        order.ifPresent(mOfflineOrderSender);
        return order.flatMap(load -> mShards.model(model))
                .<Either<Refusal, Duration>>map(m -> Either.right(m.loadTimes().fromRemote()))
                .orElseGet(() -> ActivationClient.holderUnreachable(model));
    }

    private void forwardArrivals(ModelName model, int arrivals) {
        if (mShards.usableShardOf(model).isPresent()) {
            forwardArrivalsInOwnDomain(model, arrivals);
        } else {
            mRemoteDomains.sendArrivals(model, arrivals);
        }
    }

    /**
     * Forwards arrivals within this failure domain only, so that arrivals from other domains cannot
     * circulate.
     */
    private void forwardArrivalsInOwnDomain(ModelName model, int arrivals) {
        mShards.usableShardOf(model)
                .map(mShards::getOrCreate)
                .ifPresent(
                        runtime -> {
                            if (runtime.holdsLease()) {
                                runtime.onArrivals(
                                        model, Math.min(arrivals, PollIntervals.MAX_ARRIVALS));
                            } else {
                                runtime.holder()
                                        .ifPresent(
                                                holder ->
                                                        mActivationClient.sendArrivals(
                                                                holder, model, arrivals));
                            }
                        });
    }

    private static Mono<Either<Refusal, Duration>> refuse(ResultCode code, String detail) {
        return Mono.just(Either.left(Refusal.of(code, detail)));
    }
}
