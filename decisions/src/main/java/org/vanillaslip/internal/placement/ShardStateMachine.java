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
 * The lease and the placement of one control shard on one host: event by event, from a state to the
 * next state and the actions to take. Decisions are written before their orders are sent, and
 * outcomes are taken from reports only.
 */
public final class ShardStateMachine {

    // A call that the platform refused is made again at an age that still leaves renewals time.
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final ShardStepPlanner mStepPlanner;

    /** Creates a machine; the generator makes write nonces. */
    public ShardStateMachine(RandomGenerator random) {
        mStepPlanner = new ShardStepPlanner(random);
    }

    /** Lets time pass. */
    public ShardStep onTick(ShardState state, ShardContext context, long nowNanos) {
        return advance(state, context, nowNanos);
    }

    /** Takes the answer to a read; an object that does not exist has version 0. */
    public ShardStep onRead(
            ShardState state, ShardContext context, long version, ShardRecord record, long now) {
        ShardState next = state.withPendingCalls(state.pendingCalls().withVersionSeen(version));
        Option<PendingWrite> own = state.pendingCalls().findWrite(record.lease().nonce());
        if (own.isDefined()) {
            return applyOwnWrite(next, context, own.get(), version, now);
        } else if (version > 0 && version < state.lease().version()) {
            // A digest was faster than this read; the older record may name withdrawn loads.
            return advance(
                    state.withPendingCalls(
                            state.pendingCalls().withVersionSeen(state.lease().version())),
                    context,
                    now);
        }
        return applyRecord(next, context, version, record, now);
    }

    /** Takes a record that another host sent. Older ones than the last seen are ignored. */
    public ShardStep onDigest(
            ShardState state, ShardContext context, long version, ShardRecord record, long now) {
        if (version <= state.lease().version()
                || !state.pendingCalls().unresolvedWrites().isEmpty()) {
            return ShardStep.of(state);
        }
        return applyRecord(state, context, version, record, now);
    }

    /** Takes a call to the platform that changed nothing, to be made again later. */
    public ShardStep onCallRefused(ShardState state, ShardContext context, long nowNanos) {
        PendingCalls writes = state.pendingCalls().withNextCallAt(nowNanos + RETRY_DELAY.toNanos());
        return advance(state.withPendingCalls(writes), context, nowNanos);
    }

    /** Takes the answer to the open write. */
    public ShardStep onWritten(
            ShardState state, ShardContext context, String nonce, long version, long nowNanos) {
        Option<PendingWrite> write = state.pendingCalls().findWrite(nonce);
        if (write.isEmpty()) {
            return ShardStep.of(state);
        }
        ShardState next = state.withPendingCalls(state.pendingCalls().withAnswer(version));
        return applyOwnWrite(next, context, write.get(), version, nowNanos);
    }

    /** Takes a conflict: the object has another version and has to be read again. */
    public ShardStep onWriteConflict(ShardState state, ShardContext context, long nowNanos) {
        ShardState next =
                state.withPendingCalls(state.pendingCalls().withNextCallAt(nowNanos).withRead());
        return new ShardStep(next, List.of(new ReadObject()));
    }

    /** Takes a lost answer: the write may have taken effect, and the object is read again. */
    public ShardStep onAnswerLost(ShardState state, ShardContext context, long nowNanos) {
        ShardState next = state.withPendingCalls(state.pendingCalls().withAnswerLost().withRead());
        return new ShardStep(next, List.of(new ReadObject()));
    }

    /** Takes a status report; reports that were asked for earlier than the last are ignored. */
    public ShardStep onServerReport(
            ShardState state, ShardContext context, ServerReport report, long nowNanos) {
        boolean older =
                state.reports()
                        .get(report.server())
                        .exists(last -> last.requestedNanos() > report.requestedNanos());
        return older ? ShardStep.of(state) : advance(state.withReport(report), context, nowNanos);
    }

    /** Takes the acceptance of an order; only void orders have no outcome in reports. */
    public ShardState onOrderAccepted(ShardState state, Order order, long nowNanos) {
        return order.action() == OrderAction.VOID
                ? state.withOrderLog(state.orderLog().withVoidAccepted(order, nowNanos))
                : state;
    }

    /** Takes a request that waits for a model until the given time. */
    public ShardStep onModelRequested(
            ShardState state, ShardContext context, ModelName model, long untilNanos, long now) {
        Demand demand = state.demand().withRequest(model, untilNanos);
        return advance(state.withDemand(demand), context, now);
    }

    /** Counts arrivals for the keep-alive decision. */
    public ShardState onArrival(ShardState state, ModelName model, long nowNanos) {
        return state.withDemand(state.demand().withArrival(model, nowNanos));
    }

    /** Takes the records of all shards. */
    public ShardStep onShardsListed(
            ShardState state, ShardContext context, Map<String, ShardRecord> records, long now) {
        OtherShards others = state.otherShards().withRecords(HashMap.ofAll(records));
        return advance(state.withOtherShards(others), context, now);
    }

    /** Takes a host's confirmation that it acts on the given object version or a newer one. */
    public ShardState onVersionConfirmed(
            ShardState state, String host, long version, long nowNanos) {
        return state.withConfirmation(host, new VersionConfirmation(version, nowNanos));
    }

    /** Starts the release of the lease for a planned stop. */
    public ShardStep onStop(ShardState state, ShardContext context, long nowNanos) {
        return advance(state.withStopping(), context, nowNanos);
    }

    private ShardStep applyRecord(
            ShardState state, ShardContext context, long version, ShardRecord record, long now) {
        LeaseState lease = state.lease().observed(version, record.lease(), context.host(), now);
        ShardState next =
                state.withLease(lease)
                        .withRecord(record)
                        .withOrderLog(state.orderLog().withDecisionsOf(record, now));
        List<ShardAction> actions = new ArrayList<>();
        if (state.lease().holding() && !lease.holding()) {
            String reason = "held by " + record.lease().holder();
            actions.add(
                    new LogShardEvent(
                            ShardEvent.ofLease(ShardEventKind.LEASE_LOST, context, reason)));
        }
        return new ShardStep(next, actions).then(advance(next, context, now));
    }

    private ShardStep applyOwnWrite(
            ShardState state, ShardContext context, PendingWrite write, long version, long now) {
        ShardRecord record = write.record();
        boolean newTerm = record.lease().term() != state.lease().term();
        OrderLog orders = newTerm ? OrderLog.empty() : state.orderLog();
        ShardState next =
                state.withLease(
                                state.lease()
                                        .written(version, record.lease(), write.sentNanos(), now))
                        .withRecord(record)
                        .withPendingCalls(state.pendingCalls().withAnswer(version))
                        .withOrderLog(orders.withDecisionsOf(record, now));
        List<ShardAction> actions = new ArrayList<>();
        write.events().forEach(notice -> actions.add(new LogShardEvent(notice)));
        actions.add(new PublishRecord(version, record));
        return new ShardStep(next, actions).then(advance(next, context, now));
    }

    private ShardStep advance(ShardState state, ShardContext context, long now) {
        return mStepPlanner.advance(state, context, now);
    }
}
