package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.placement.ActivationEstimate;
import org.vanillaslip.internal.placement.ListShards;
import org.vanillaslip.internal.placement.LogShardEvent;
import org.vanillaslip.internal.placement.Order;
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
import org.vanillaslip.internal.placement.WriteObject;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Runs the state machine of one control shard on the decision loop. */
final class ShardRuntime {

    private final String mShard;
    private final DecisionLoop mLoop;
    private final ShardStateMachine mStateMachine;
    private final ShardStore mStore;
    private final PlacementJsonCodec mCodec;
    private final Supplier<Optional<ShardContext>> mContext;
    private final ShardActionHandler mActionHandler;
    private ShardState mState;
    private boolean mPlatformReachable = true;

    ShardRuntime(
            String shard,
            DecisionLoop loop,
            ShardStateMachine stateMachine,
            ShardStore store,
            PlacementJsonCodec codec,
            Supplier<Optional<ShardContext>> context,
            ShardActionHandler actionHandler) {
        mShard = shard;
        mLoop = loop;
        mStateMachine = stateMachine;
        mStore = store;
        mCodec = codec;
        mContext = context;
        mActionHandler = actionHandler;
        mState = ShardState.initial(now());
    }

    ShardRecord record() {
        return mState.record();
    }

    long version() {
        return mState.lease().version();
    }

    boolean holdsLease() {
        return mState.lease().holding();
    }

    /** Returns the last known lease holder; empty if the lease is released or unknown. */
    Optional<String> holder() {
        return Optional.of(mState.record().lease().holder()).filter(holder -> !holder.isEmpty());
    }

    boolean platformReachable() {
        return mPlatformReachable;
    }

    void tick() {
        step(context -> mStateMachine.onTick(mState, context, now()));
    }

    /** Records that the server has accepted an order. */
    void onOrderAccepted(Order order) {
        mState = mStateMachine.onOrderAccepted(mState, order, now());
    }

    void onServerReport(ServerReport report) {
        step(context -> mStateMachine.onServerReport(mState, context, report, now()));
    }

    void onModelRequested(ModelName model, Duration wait) {
        long deadlineNanos = now() + wait.toNanos();
        step(
                context ->
                        mStateMachine.onModelRequested(
                                mState, context, model, deadlineNanos, now()));
    }

    void onArrivals(ModelName model, int count) {
        for (int i = 0; i < count; i++) {
            mState = mStateMachine.onArrival(mState, model, now());
        }
    }

    void onDigest(long version, ShardRecord record) {
        step(context -> mStateMachine.onRecordReceived(mState, context, version, record, now()));
    }

    /** Returns whether the host has confirmed this version or a newer one. */
    boolean hasConfirmed(String host, long version) {
        return mState.confirmations()
                .get(host)
                .exists(confirmation -> confirmation.version() >= version);
    }

    void onVersionConfirmed(String host, long version) {
        mState = mStateMachine.onVersionConfirmed(mState, host, version, now());
    }

    void stop() {
        step(context -> mStateMachine.onStop(mState, context, now()));
    }

    Either<Refusal, Duration> estimateWait(ShardContext context, ModelName model) {
        return ActivationEstimate.of(mState, context, model, now());
    }

    private void step(Function<ShardContext, ShardStep> transition) {
        mContext.get()
                .ifPresent(
                        context -> {
                            ShardStep step = transition.apply(context);
                            mState = step.state();
                            step.actions().forEach(this::execute);
                        });
    }

    private void execute(ShardAction action) {
        if (action instanceof ReadObject) {
            mStore.read(mShard).subscribe(this::onReadAnswered);
        } else if (action instanceof WriteObject) {
            WriteObject write = (WriteObject) action;
            String nonce = write.record().lease().nonce();
            mStore.write(mShard, write.expectedVersion(), write.record())
                    .subscribe(result -> onWriteAnswered(nonce, result));
        } else if (action instanceof ListShards) {
            mStore.list()
                    .subscribe(
                            result ->
                                    result.forEach(
                                            records ->
                                                    step(
                                                            context ->
                                                                    mStateMachine.onShardsListed(
                                                                            mState, context,
                                                                            records, now()))));
        } else if (action instanceof SendOrder) {
            mActionHandler.sendOrder(((SendOrder) action).order());
        } else if (action instanceof PublishRecord) {
            PublishRecord publish = (PublishRecord) action;
            mActionHandler.publishRecord(mShard, publish.version(), publish.record());
        } else if (action instanceof LogShardEvent) {
            mActionHandler.logEvent(((LogShardEvent) action).event());
        }
    }

    private void onReadAnswered(Either<PlatformFailure, StoredObject> result) {
        updatePlatformReachable(result);
        if (result.isRight()) {
            StoredObject object = result.get();
            Optional<ShardRecord> record = mCodec.readRecord(object.spec());
            if (record.isPresent()) {
                onReadAnswered(object.version(), record.get());
                return;
            }
            mActionHandler.logUnreadableRecord(mShard, object.version());
        } else if (result.getLeft() == PlatformFailure.NOT_FOUND) {
            onReadAnswered(0, ShardRecord.EMPTY);
            return;
        }
        step(context -> mStateMachine.onCallRefused(mState, context, now()));
    }

    private void onReadAnswered(long version, ShardRecord record) {
        step(context -> mStateMachine.onRead(mState, context, version, record, now()));
    }

    private void onWriteAnswered(String nonce, Either<PlatformFailure, StoredObject> result) {
        updatePlatformReachable(result);
        if (result.isRight()) {
            long version = result.get().version();
            step(context -> mStateMachine.onWritten(mState, context, nonce, version, now()));
            return;
        }
        switch (result.getLeft()) {
            case CONFLICT:
            case NOT_FOUND:
                step(context -> mStateMachine.onWriteConflict(mState, context, now()));
                break;
            case OUTCOME_UNKNOWN:
                step(context -> mStateMachine.onAnswerLost(mState, context, now()));
                break;
            default:
                step(context -> mStateMachine.onCallRefused(mState, context, now()));
        }
    }

    private void updatePlatformReachable(Either<PlatformFailure, StoredObject> result) {
        mPlatformReachable =
                result.isRight()
                        || result.getLeft() != PlatformFailure.UNAVAILABLE
                                && result.getLeft() != PlatformFailure.OUTCOME_UNKNOWN;
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
