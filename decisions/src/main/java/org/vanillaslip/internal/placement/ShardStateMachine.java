package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.lease.LeaseState;

/**
 * The state machine for the lease and the placements of one control shard on one host. Each method
 * handles one event and returns the next state and the actions to execute. Decisions are written
 * before their orders are sent, and outcomes are taken only from reports.
 */
public final class ShardStateMachine {

    // Short enough that a refused lease renewal can be repeated before the lease expires.
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final ShardStepPlanner mStepPlanner;

    /** Creates a state machine; the generator creates the nonces of writes. */
    public ShardStateMachine(RandomGenerator random) {
        mStepPlanner = new ShardStepPlanner(random);
    }

    /** Handles a periodic tick. */
    public ShardStep onTick(ShardState state, ShardContext context, long nowNanos) {
        return advance(state, context, nowNanos);
    }

    /** Handles the answer to a read; an object that does not exist has version 0. */
    public ShardStep onRead(
            ShardState state,
            ShardContext context,
            long version,
            ShardRecord record,
            long nowNanos) {
        ShardState next = state.withPendingCalls(state.pendingCalls().withVersionSeen(version));
        Option<PendingWrite> own = state.pendingCalls().findWrite(record.lease().nonce());
        if (own.isDefined()) {
            return applyOwnWrite(next, context, own.get(), version, nowNanos);
        } else if (version > 0 && version < state.lease().version()) {
            // Another host sent a newer version before this read ended; the older record may hold
            // loads that have been withdrawn since.
            return advance(
                    state.withPendingCalls(
                            state.pendingCalls().withVersionSeen(state.lease().version())),
                    context,
                    nowNanos);
        }
        return applyRecord(next, context, version, record, nowNanos);
    }

    /**
     * Handles a record that another host sent. A version that is not newer than the last one seen
     * is ignored.
     */
    public ShardStep onRecordReceived(
            ShardState state,
            ShardContext context,
            long version,
            ShardRecord record,
            long nowNanos) {
        if (version <= state.lease().version()
                || !state.pendingCalls().unresolvedWrites().isEmpty()) {
            return ShardStep.of(state);
        }
        return applyRecord(state, context, version, record, nowNanos);
    }

    /** Handles a platform call that was refused without effect; it is repeated later. */
    public ShardStep onCallRefused(ShardState state, ShardContext context, long nowNanos) {
        PendingCalls calls = state.pendingCalls().withNextCallAt(nowNanos + RETRY_DELAY.toNanos());
        return advance(state.withPendingCalls(calls), context, nowNanos);
    }

    /** Handles the answer to a write. */
    public ShardStep onWritten(
            ShardState state, ShardContext context, String nonce, long version, long nowNanos) {
        Option<PendingWrite> write = state.pendingCalls().findWrite(nonce);
        if (write.isEmpty()) {
            return ShardStep.of(state);
        }
        ShardState next = state.withPendingCalls(state.pendingCalls().withAnswer(version));
        return applyOwnWrite(next, context, write.get(), version, nowNanos);
    }

    /** Handles a write conflict: the object has another version and has to be read again. */
    public ShardStep onWriteConflict(ShardState state, ShardContext context, long nowNanos) {
        ShardState next =
                state.withPendingCalls(state.pendingCalls().withNextCallAt(nowNanos).withRead());
        return new ShardStep(next, List.of(new ReadObject()));
    }

    /** Handles a lost answer: the write may have taken effect, so the object is read again. */
    public ShardStep onAnswerLost(ShardState state, ShardContext context, long nowNanos) {
        ShardState next = state.withPendingCalls(state.pendingCalls().withAnswerLost().withRead());
        return new ShardStep(next, List.of(new ReadObject()));
    }

    /** Handles a status report; a report that was requested before the last one is ignored. */
    public ShardStep onServerReport(
            ShardState state, ShardContext context, ServerReport report, long nowNanos) {
        boolean older =
                state.reports()
                        .get(report.server())
                        .exists(last -> last.requestedNanos() > report.requestedNanos());
        return older ? ShardStep.of(state) : advance(state.withReport(report), context, nowNanos);
    }

    /**
     * Handles the acceptance of an order. It matters only for void orders, whose outcome is not
     * shown in reports.
     */
    public ShardState onOrderAccepted(ShardState state, Order order, long nowNanos) {
        return order.action() == OrderAction.VOID
                ? state.withOrderLog(state.orderLog().withVoidAccepted(order, nowNanos))
                : state;
    }

    /** Handles a request that waits for a model until the given time. */
    public ShardStep onModelRequested(
            ShardState state,
            ShardContext context,
            ModelName model,
            long untilNanos,
            long nowNanos) {
        Demand demand = state.demand().withRequest(model, untilNanos);
        return advance(state.withDemand(demand), context, nowNanos);
    }

    /** Records an arrival for the keep-alive decision. */
    public ShardState onArrival(ShardState state, ModelName model, long nowNanos) {
        return state.withDemand(state.demand().withArrival(model, nowNanos));
    }

    /** Handles the listed records of all shards. */
    public ShardStep onShardsListed(
            ShardState state,
            ShardContext context,
            Map<String, ShardRecord> records,
            long nowNanos) {
        OtherShards others = state.otherShards().withRecords(HashMap.ofAll(records));
        return advance(state.withOtherShards(others), context, nowNanos);
    }

    /** Handles a host's confirmation that it acts on the given object version or a newer one. */
    public ShardState onVersionConfirmed(
            ShardState state, String host, long version, long nowNanos) {
        return state.withConfirmation(host, new VersionConfirmation(version, nowNanos));
    }

    /** Starts the release of the lease for a planned stop. */
    public ShardStep onStop(ShardState state, ShardContext context, long nowNanos) {
        return advance(state.withStopping(), context, nowNanos);
    }

    private ShardStep applyRecord(
            ShardState state,
            ShardContext context,
            long version,
            ShardRecord record,
            long nowNanos) {
        LeaseState lease =
                state.lease().observed(version, record.lease(), context.host(), nowNanos);
        ShardState next =
                state.withLease(lease)
                        .withRecord(record)
                        .withOrderLog(state.orderLog().withDecisionsOf(record, nowNanos));
        List<ShardAction> actions = new ArrayList<>();
        if (state.lease().holding() && !lease.holding()) {
            String reason = "held by " + record.lease().holder();
            actions.add(
                    new LogShardEvent(
                            ShardEvent.ofLease(ShardEventKind.LEASE_LOST, context, reason)));
        }
        return new ShardStep(next, actions).then(advance(next, context, nowNanos));
    }

    private ShardStep applyOwnWrite(
            ShardState state,
            ShardContext context,
            PendingWrite write,
            long version,
            long nowNanos) {
        ShardRecord record = write.record();
        boolean newTerm = record.lease().term() != state.lease().term();
        OrderLog orders = newTerm ? OrderLog.empty() : state.orderLog();
        ShardState next =
                state.withLease(
                                state.lease()
                                        .written(
                                                version,
                                                record.lease(),
                                                write.sentNanos(),
                                                nowNanos))
                        .withRecord(record)
                        .withPendingCalls(state.pendingCalls().withAnswer(version))
                        .withOrderLog(orders.withDecisionsOf(record, nowNanos));
        List<ShardAction> actions = new ArrayList<>();
        write.events().forEach(event -> actions.add(new LogShardEvent(event)));
        actions.add(new PublishRecord(version, record));
        return new ShardStep(next, actions).then(advance(next, context, nowNanos));
    }

    private ShardStep advance(ShardState state, ShardContext context, long nowNanos) {
        return mStepPlanner.advance(state, context, nowNanos);
    }
}
