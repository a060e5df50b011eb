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
    private final ShardStateMachine mMachine;
    private final ShardStore mStore;
    private final PlacementJsonCodec mJson;
    private final Supplier<Optional<ShardContext>> mContext;
    private final ShardActionHandler mListener;
    private ShardState mState;
    private boolean mPlatformReachable = true;

    ShardRuntime(
            String shard,
            DecisionLoop loop,
            ShardStateMachine machine,
            ShardStore store,
            PlacementJsonCodec json,
            Supplier<Optional<ShardContext>> context,
            ShardActionHandler listener) {
        mShard = shard;
        mLoop = loop;
        mMachine = machine;
        mStore = store;
        mJson = json;
        mContext = context;
        mListener = listener;
        mState = ShardState.initial(now());
    }

    ShardRecord record() {
        return mState.record();
    }

    long version() {
        return mState.lease().version();
    }

    boolean holds() {
        return mState.lease().holding();
    }

    /** Returns the holder as last seen; empty when the lease is released or unknown. */
    Optional<String> holder() {
        return Optional.of(mState.record().lease().holder()).filter(holder -> !holder.isEmpty());
    }

    boolean platformReachable() {
        return mPlatformReachable;
    }

    void tick() {
        step(context -> mMachine.onTick(mState, context, now()));
    }

    /** Notes that the server has accepted an order. */
    void accepted(Order order) {
        mState = mMachine.onOrderAccepted(mState, order, now());
    }

    void reported(ServerReport report) {
        step(context -> mMachine.onServerReport(mState, context, report, now()));
    }

    void wanted(ModelName model, Duration wait) {
        long until = now() + wait.toNanos();
        step(context -> mMachine.onModelRequested(mState, context, model, until, now()));
    }

    void arrived(ModelName model, int count) {
        for (int i = 0; i < count; i++) {
            mState = mMachine.onArrival(mState, model, now());
        }
    }

    void digest(long version, ShardRecord record) {
        step(context -> mMachine.onDigest(mState, context, version, record, now()));
    }

    /** Returns whether the last confirmation of the host covers the version. */
    boolean hasConfirmed(String host, long version) {
        return mState.confirmations().get(host).exists(last -> last.version() >= version);
    }

    void confirmed(String host, long version) {
        mState = mMachine.onVersionConfirmed(mState, host, version, now());
    }

    void stop() {
        step(context -> mMachine.onStop(mState, context, now()));
    }

    Either<Refusal, Duration> estimate(ShardContext context, ModelName model) {
        return ActivationEstimate.of(mState, context, model, now());
    }

    private void step(Function<ShardContext, ShardStep> event) {
        mContext.get()
                .ifPresent(
                        context -> {
                            ShardStep step = event.apply(context);
                            mState = step.state();
                            step.actions().forEach(this::execute);
                        });
    }

    private void execute(ShardAction action) {
        if (action instanceof ReadObject) {
            mStore.read(mShard).subscribe(this::readAnswered);
        } else if (action instanceof WriteObject) {
            WriteObject write = (WriteObject) action;
            String nonce = write.record().lease().nonce();
            mStore.write(mShard, write.expectedVersion(), write.record())
                    .subscribe(answer -> writeAnswered(nonce, answer));
        } else if (action instanceof ListShards) {
            mStore.list()
                    .subscribe(
                            answer ->
                                    answer.forEach(
                                            records ->
                                                    step(
                                                            context ->
                                                                    mMachine.onShardsListed(
                                                                            mState, context,
                                                                            records, now()))));
        } else if (action instanceof SendOrder) {
            mListener.send(((SendOrder) action).order());
        } else if (action instanceof PublishRecord) {
            PublishRecord publish = (PublishRecord) action;
            mListener.publish(mShard, publish.version(), publish.record());
        } else if (action instanceof LogShardEvent) {
            mListener.report(((LogShardEvent) action).event());
        }
    }

    private void readAnswered(Either<PlatformFailure, StoredObject> answer) {
        note(answer);
        if (answer.isRight()) {
            StoredObject object = answer.get();
            Optional<ShardRecord> record = mJson.read(object.spec());
            if (record.isPresent()) {
                readAnswered(object.version(), record.get());
                return;
            }
            mListener.unreadable(mShard, object.version());
        } else if (answer.getLeft() == PlatformFailure.NOT_FOUND) {
            readAnswered(0, ShardRecord.EMPTY);
            return;
        }
        step(context -> mMachine.onCallRefused(mState, context, now()));
    }

    private void readAnswered(long version, ShardRecord record) {
        step(context -> mMachine.onRead(mState, context, version, record, now()));
    }

    private void writeAnswered(String nonce, Either<PlatformFailure, StoredObject> answer) {
        note(answer);
        if (answer.isRight()) {
            long version = answer.get().version();
            step(context -> mMachine.onWritten(mState, context, nonce, version, now()));
            return;
        }
        switch (answer.getLeft()) {
            case CONFLICT:
            case NOT_FOUND:
                step(context -> mMachine.onWriteConflict(mState, context, now()));
                break;
            case OUTCOME_UNKNOWN:
                step(context -> mMachine.onAnswerLost(mState, context, now()));
                break;
            default:
                step(context -> mMachine.onCallRefused(mState, context, now()));
        }
    }

    private void note(Either<PlatformFailure, StoredObject> answer) {
        mPlatformReachable =
                answer.isRight()
                        || answer.getLeft() != PlatformFailure.UNAVAILABLE
                                && answer.getLeft() != PlatformFailure.OUTCOME_UNKNOWN;
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
