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

/** Brings the demand of this host and of other hosts to the lease holder of the model's shard. */
final class ActivationService {

    private final DecisionLoop mLoop;
    private final ShardContexts mContexts;
    private final ShardTable mShards;
    private final PeerLinks mPeers;
    private final ActivationClient mActivations;
    private final Predicate<String> mHolderSilent;
    private final Function<String, Optional<EngineStatus>> mReports;
    private final Consumer<Order> mOfflineOrders;
    private final RemoteDomainClient mRemote;
    private final LoadedReplicas mLoaded;
    private final RequestedModels mWanted = new RequestedModels();

    /**
     * Creates a service.
     *
     * @param holderSilent whether a shard's holder has been silent for its whole validity
     * @param reports this host's last own report of a server
     * @param offlineOrders sends an order of the offline placement set
     * @param remote other failure domains, asked when this one cannot serve a model
     * @param loaded describes the replicas of this failure domain to others
     */
    ActivationService(
            DecisionLoop loop,
            ShardContexts contexts,
            ShardTable shards,
            PeerLinks peers,
            Predicate<String> holderSilent,
            Function<String, Optional<EngineStatus>> reports,
            Consumer<Order> offlineOrders,
            RemoteDomainClient remote,
            LoadedReplicas loaded) {
        mLoop = loop;
        mContexts = contexts;
        mShards = shards;
        mPeers = peers;
        mActivations = new ActivationClient(peers);
        mHolderSilent = holderSilent;
        mReports = reports;
        mOfflineOrders = offlineOrders;
        mRemote = remote;
        mLoaded = loaded;
    }

    void arrived(ModelName model) {
        mWanted.arrive(model);
    }

    void loaded(ModelName model) {
        mWanted.forget(model);
    }

    void withdrawn(ModelName model) {
        mWanted.forget(model);
    }

    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        if (mContexts.configuration().isEmpty()) {
            return refuse(ResultCode.NOT_READY, "This host has no configuration yet.");
        } else if (mShards.model(model).isEmpty()) {
            return refuse(ResultCode.UNKNOWN_MODEL, model.toString());
        }
        mWanted.want(model, mLoop.clock().nowNanos() + wait.toNanos());
        return anywhere(model, wait);
    }

    /** Asks the own failure domain first, and others when it cannot serve the model. */
    private Mono<Either<Refusal, Duration>> anywhere(ModelName model, Duration wait) {
        return here(model, wait)
                .flatMap(
                        answer ->
                                noServer(answer)
                                        ? mRemote.activate(model, wait)
                                                .map(other -> other.isRight() ? other : answer)
                                        : Mono.just(answer));
    }

    private Mono<Either<Refusal, Duration>> here(ModelName model, Duration wait) {
        return mShards.usableShardOf(model)
                .map(shard -> request(shard, model, wait))
                .orElseGet(
                        () ->
                                refuse(
                                        ResultCode.NO_BACKEND_SERVER,
                                        "model " + model + ": no server here may load it"));
    }

    private static boolean noServer(Either<Refusal, Duration> answer) {
        return answer.isLeft() && answer.getLeft().code() == ResultCode.NO_BACKEND_SERVER;
    }

    /** Answers a request of another host. */
    Mono<Envelope.Builder> handle(Envelope envelope) {
        ActivationRequest request = envelope.getActivationRequest();
        ModelName model = ActivationMessages.model(request);
        int arrivals = Math.min(request.getArrivals(), PollIntervals.MOST_ARRIVALS);
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        return mContexts.isRemote(envelope.getSender())
                ? handleRemote(model, wait, arrivals)
                : handleLocal(model, wait, arrivals);
    }

    private Mono<Envelope.Builder> handleLocal(ModelName model, Duration wait, int arrivals) {
        Optional<String> shard = mShards.shardOf(model);
        if (shard.isEmpty() || !mShards.get(shard.get()).holds()) {
            return Mono.just(ActivationMessages.reply(ActivationClient.unreachable(model)));
        }
        mShards.get(shard.get()).arrived(model, arrivals);
        return wait.isZero()
                ? Mono.empty()
                : Mono.just(ActivationMessages.reply(accept(shard.get(), model, wait)));
    }

    /** A host of another failure domain may ask any host here, not only the lease holder. */
    private Mono<Envelope.Builder> handleRemote(ModelName model, Duration wait, int arrivals) {
        if (wait.isZero()) {
            forwardHere(model, arrivals);
            return Mono.empty();
        }
        return here(model, wait)
                .map(
                        answer -> {
                            Envelope.Builder reply = ActivationMessages.reply(answer);
                            reply.getActivationReplyBuilder().addAllReplicas(mLoaded.of(model));
                            return reply;
                        });
    }

    /** Sends arrivals to the holders, and asks again for models that requests still wait for. */
    void exchange() {
        mWanted.takeArrivals().forEach(this::forward);
        long now = mLoop.clock().nowNanos();
        for (ModelName model : mWanted.wanted(now)) {
            // A new holder does not know what its predecessor was asked for.
            Duration left = Duration.ofNanos(mWanted.untilNanos(model) - now);
            anywhere(model, left).subscribe();
        }
    }

    private Mono<Either<Refusal, Duration>> request(String shard, ModelName model, Duration wait) {
        ShardRuntime runtime = mShards.get(shard);
        if (runtime.holds()) {
            return Mono.just(accept(shard, model, wait));
        }
        Optional<String> holder = runtime.holder().filter(mPeers.liveHosts()::contains);
        if (holder.isPresent()) {
            return mActivations.ask(holder.get(), model, wait);
        }
        return Mono.just(offline(shard, model));
    }

    private Either<Refusal, Duration> accept(String shard, ModelName model, Duration wait) {
        ShardRuntime runtime = mShards.get(shard);
        Either<Refusal, Duration> estimate =
                mContexts
                        .of(shard)
                        .map(context -> runtime.estimate(context, model))
                        .orElseGet(() -> ActivationClient.unreachable(model));
        // A refused model stays wanted for a moment: other requests may wait on, and a refused
        // caller may come back.
        runtime.wanted(model, RequestLifetime.lifetime(wait));
        return estimate;
    }

    private Either<Refusal, Duration> offline(String shard, ModelName model) {
        ShardRuntime runtime = mShards.get(shard);
        if (runtime.platformReachable() || !mHolderSilent.test(shard)) {
            return ActivationClient.unreachable(model);
        }
        Optional<Order> order = OfflineOrderSelector.order(runtime, model, mReports);
        order.ifPresent(mOfflineOrders);
        return order.flatMap(load -> mShards.model(model))
                .<Either<Refusal, Duration>>map(m -> Either.right(m.loadTimes().fromRemote()))
                .orElseGet(() -> ActivationClient.unreachable(model));
    }

    private void forward(ModelName model, int arrivals) {
        if (mShards.usableShardOf(model).isPresent()) {
            forwardHere(model, arrivals);
        } else {
            mRemote.sendArrivals(model, arrivals);
        }
    }

    /** Arrivals from another failure domain go no further, so that they cannot circulate. */
    private void forwardHere(ModelName model, int arrivals) {
        mShards.usableShardOf(model)
                .map(mShards::get)
                .ifPresent(
                        runtime -> {
                            if (runtime.holds()) {
                                runtime.arrived(
                                        model, Math.min(arrivals, PollIntervals.MOST_ARRIVALS));
                            } else {
                                runtime.holder()
                                        .ifPresent(
                                                holder ->
                                                        mActivations.sendArrivals(
                                                                holder, model, arrivals));
                            }
                        });
    }

    private static Mono<Either<Refusal, Duration>> refuse(ResultCode code, String detail) {
        return Mono.just(Either.left(Refusal.of(code, detail)));
    }
}
