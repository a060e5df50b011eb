package org.vanillaslip.internal.proofs.measures;

import io.vavr.collection.Map;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.placement.ActivationEstimate;
import org.vanillaslip.internal.placement.ArrivalHistory;
import org.vanillaslip.internal.placement.Demand;
import org.vanillaslip.internal.placement.ListShards;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.PublishRecord;
import org.vanillaslip.internal.placement.ReadObject;
import org.vanillaslip.internal.placement.SendOrder;
import org.vanillaslip.internal.placement.ServerReport;
import org.vanillaslip.internal.placement.ShardAction;
import org.vanillaslip.internal.placement.ShardContext;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.internal.placement.ShardState;
import org.vanillaslip.internal.placement.ShardStateMachine;
import org.vanillaslip.internal.placement.ShardStep;
import org.vanillaslip.internal.placement.WeightStoreLimits;
import org.vanillaslip.internal.placement.WriteObject;

/**
 * Drives the project's {@link ShardStateMachine} for one shard, as the lease holder's daemon does.
 */
final class ShardHolder {

    private static final long PLATFORM_NANOS = Duration.ofMillis(5).toNanos();
    private static final long MESSAGE_NANOS = Duration.ofMillis(1).toNanos();
    private static final Set<String> HOSTS = Set.of("host-1", "host-2");
    private static final String HOLDER = "host-1";

    private final EventQueue mEvents;
    private final RecordStore mStore;
    private final String mDomain;
    private final Supplier<Configuration> mConfiguration;
    private final KeepAliveVariant mVariant;
    private final PlacementSettings mSettings;
    private final Consumer<Order> mOrders;
    private final Consumer<ShardRecord> mPublished;
    private final ShardStateMachine mMachine;
    private ShardState mState = ShardState.initial(0);
    private boolean mUp = true;
    private int mLife;

    ShardHolder(
            EventQueue events,
            RecordStore store,
            String domain,
            Supplier<Configuration> configuration,
            KeepAliveVariant variant,
            WeightStoreLimits weightStore,
            Consumer<Order> orders,
            Consumer<ShardRecord> published) {
        mEvents = events;
        mStore = store;
        mDomain = domain;
        mConfiguration = configuration;
        mVariant = variant;
        // Values of the daemon but for the age of reports, because servers are polled less often.
        mSettings =
                new PlacementSettings(
                        LeaseTimes.STANDARD,
                        weightStore,
                        variant.policy(),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(30),
                        2);
        mOrders = orders;
        mPublished = published;
        mMachine = new ShardStateMachine(new Random(domain.hashCode()));
    }

    void tick() {
        step(context -> mMachine.onTick(mState, context, now()));
    }

    void reported(ServerReport report) {
        step(context -> mMachine.onServerReport(mState, context, report, now()));
    }

    void wanted(ModelName name, long untilNanos) {
        step(context -> mMachine.onModelRequested(mState, context, name, untilNanos, now()));
    }

    void arrived(ModelName name, int count) {
        for (int i = 0; i < count && mVariant.learns(); i++) {
            mState = mMachine.onArrival(mState, name, now());
        }
    }

    /** Starts the idle time of a baseline again while requests use the model. */
    void used(ModelName name) {
        if (!mVariant.learns()) {
            restartIdle(name);
            restartIdle(name.base());
        }
    }

    Either<Refusal, Duration> estimate(ModelName name) {
        return ActivationEstimate.of(mState, context(), name, now());
    }

    /** Confirms to itself that it acts on the current record; the daemon does so every 2 s. */
    void confirmOwn() {
        if (mUp && shrinking(mState.record())) {
            confirm(HOLDER, mState.lease().version());
        }
    }

    void stop() {
        mUp = false;
        mLife++;
    }

    void start() {
        mUp = true;
        mState = ShardState.initial(now());
        tick();
    }

    // A history with a start and no inter-arrival time, so that the policy applies its keep-alive
    // for unknown models.
    private void restartIdle(ModelName name) {
        Map<ModelName, ArrivalHistory> arrivals =
                mState.demand().arrivals().put(name, ArrivalHistory.startingAt(now()));
        mState =
                new ShardState(
                        mState.lease(),
                        mState.record(),
                        mState.pendingCalls(),
                        mState.reports(),
                        mState.orderLog(),
                        new Demand(mState.demand().requestDeadlines(), arrivals),
                        mState.otherShards(),
                        mState.confirmations(),
                        mState.stopping());
    }

    private void step(Function<ShardContext, ShardStep> event) {
        if (mUp) {
            ShardStep step = event.apply(context());
            mState = step.state();
            step.actions().forEach(this::execute);
        }
    }

    private void execute(ShardAction action) {
        if (action instanceof ReadObject) {
            later(PLATFORM_NANOS, this::read);
        } else if (action instanceof WriteObject) {
            WriteObject write = (WriteObject) action;
            later(PLATFORM_NANOS, () -> write(write));
        } else if (action instanceof ListShards) {
            later(
                    PLATFORM_NANOS,
                    () -> step(c -> mMachine.onShardsListed(mState, c, mStore.records(), now())));
        } else if (action instanceof SendOrder) {
            Order order = ((SendOrder) action).order();
            later(MESSAGE_NANOS, () -> mOrders.accept(order));
        } else if (action instanceof PublishRecord) {
            publish((PublishRecord) action);
        }
    }

    private void read() {
        long version = mStore.version(shard());
        ShardRecord record = mStore.record(shard());
        step(context -> mMachine.onRead(mState, context, version, record, now()));
    }

    private void write(WriteObject write) {
        if (mStore.write(shard(), write.expectedVersion(), write.record())) {
            String nonce = write.record().lease().nonce();
            long version = mStore.version(shard());
            step(context -> mMachine.onWritten(mState, context, nonce, version, now()));
        } else {
            step(context -> mMachine.onWriteConflict(mState, context, now()));
        }
    }

    private void publish(PublishRecord publish) {
        mPublished.accept(publish.record());
        if (shrinking(publish.record())) {
            HOSTS.stream()
                    .filter(host -> !host.equals(HOLDER))
                    .forEach(
                            host ->
                                    later(
                                            2 * MESSAGE_NANOS,
                                            () -> confirm(host, publish.version())));
        }
    }

    private void confirm(String host, long version) {
        mState = mMachine.onVersionConfirmed(mState, host, version, now());
    }

    private static boolean shrinking(ShardRecord record) {
        return record.offline().stream().anyMatch(load -> !load.active());
    }

    private void later(long delayNanos, Runnable action) {
        int life = mLife;
        mEvents.after(
                delayNanos,
                () -> {
                    if (life == mLife) {
                        action.run();
                    }
                });
    }

    private ShardContext context() {
        return new ShardContext(
                HOLDER,
                shard(),
                new FailureDomain(mDomain),
                0,
                HOSTS,
                mConfiguration.get(),
                mSettings);
    }

    private String shard() {
        return mDomain + "-shard";
    }

    private long now() {
        return mEvents.nowNanos();
    }
}
