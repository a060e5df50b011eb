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
    private final Activations mActivations;
    private final Predicate<String> mHolderSilent;
    private final Function<String, Optional<EngineStatus>> mReports;
    private final Consumer<Order> mOfflineOrders;
    private final WantedModels mWanted = new WantedModels();

    /**
     * Creates a service.
     *
     * @param holderSilent whether a shard's holder has been silent for its whole validity
     * @param reports this host's last own report of a server
     * @param offlineOrders sends an order of the offline placement set
     */
    ActivationService(
            DecisionLoop loop,
            ShardContexts contexts,
            ShardTable shards,
            PeerLinks peers,
            Predicate<String> holderSilent,
            Function<String, Optional<EngineStatus>> reports,
            Consumer<Order> offlineOrders) {
        mLoop = loop;
        mContexts = contexts;
        mShards = shards;
        mPeers = peers;
        mActivations = new Activations(peers);
        mHolderSilent = holderSilent;
        mReports = reports;
        mOfflineOrders = offlineOrders;
    }

    void arrived(ModelName model) {
        mWanted.arrive(model);
    }

    void loaded(ModelName model) {
        mWanted.loaded(model);
    }

    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        if (mContexts.configuration().isEmpty()) {
            return refuse(ResultCode.NOT_READY, "This host has no configuration yet.");
        } else if (mShards.model(model).isEmpty()) {
            return refuse(ResultCode.UNKNOWN_MODEL, model.toString());
        }
        Optional<String> shard = mShards.shardOf(model);
        if (shard.isEmpty()) {
            String detail = "model " + model + ": no replica is decided for this failure domain";
            return refuse(ResultCode.NO_BACKEND_SERVER, detail);
        }
        mWanted.want(model, mLoop.clock().nowNanos() + wait.toNanos());
        return request(shard.get(), model, wait);
    }

    /** Answers a request of another host. */
    Mono<Envelope.Builder> handle(Envelope envelope) {
        ActivationRequest request = envelope.getActivationRequest();
        ModelName model = ActivationMessages.model(request);
        Optional<String> shard = mShards.shardOf(model);
        if (shard.isEmpty() || !mShards.get(shard.get()).holds()) {
            return Mono.just(ActivationMessages.reply(Activations.unreachable(model)));
        }
        int arrivals = Math.min(request.getArrivals(), PollPlan.MOST_ARRIVALS);
        mShards.get(shard.get()).arrived(model, arrivals);
        if (request.getWaitMillis() == 0) {
            return Mono.empty();
        }
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        return Mono.just(ActivationMessages.reply(accept(shard.get(), model, wait)));
    }

    /** Sends arrivals to the holders, and asks again for models that requests still wait for. */
    void exchange() {
        mWanted.takeArrivals().forEach(this::forward);
        long now = mLoop.clock().nowNanos();
        for (ModelName model : mWanted.wanted(now)) {
            // A new holder does not know what its predecessor was asked for.
            Duration left = Duration.ofNanos(mWanted.untilNanos(model) - now);
            mShards.shardOf(model).ifPresent(s -> request(s, model, left).subscribe());
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
                        .orElseGet(() -> Activations.unreachable(model));
        // A refused model stays wanted: the reason may end before the request's deadline does.
        runtime.wanted(model, wait);
        return estimate;
    }

    private Either<Refusal, Duration> offline(String shard, ModelName model) {
        ShardRuntime runtime = mShards.get(shard);
        if (runtime.platformReachable() || !mHolderSilent.test(shard)) {
            return Activations.unreachable(model);
        }
        Optional<Order> order = OfflineExecutor.order(runtime, model, mReports);
        order.ifPresent(mOfflineOrders);
        return order.flatMap(load -> mShards.model(model))
                .<Either<Refusal, Duration>>map(m -> Either.right(m.loadTimes().fromRemote()))
                .orElseGet(() -> Activations.unreachable(model));
    }

    private void forward(ModelName model, int arrivals) {
        Optional<String> shard = mShards.shardOf(model);
        if (shard.isEmpty()) {
            return;
        }
        ShardRuntime runtime = mShards.get(shard.get());
        if (runtime.holds()) {
            runtime.arrived(model, Math.min(arrivals, PollPlan.MOST_ARRIVALS));
        } else {
            runtime.holder().ifPresent(h -> mActivations.sendArrivals(h, model, arrivals));
        }
    }

    private static Mono<Either<Refusal, Duration>> refuse(ResultCode code, String detail) {
        return Mono.just(Either.left(Refusal.of(code, detail)));
    }
}
