package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.lease.LeaseRecord;
import org.vanillaslip.internal.lease.LeaseState;
import org.vanillaslip.internal.lease.LeaseTimes;

/** Plans the next actions of a host for a shard after any event. */
final class ShardStepPlanner {

    // Listing fetches the records of all shards from the platform, so it is not repeated for every
    // waiting model.
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);

    private final RandomGenerator mRandom;

    ShardStepPlanner(RandomGenerator random) {
        mRandom = random;
    }

    ShardStep advance(ShardState state, ShardContext context, long nowNanos) {
        LeaseState lease = state.lease().expire(context.settings().lease(), nowNanos);
        ShardState next =
                state.withLease(lease)
                        .withDemand(updateDemand(state, nowNanos))
                        .withOtherShards(updateOtherShards(state, context));
        List<ShardAction> actions = new ArrayList<>();
        if (state.lease().holding() && !lease.holding()) {
            ShardEvent event =
                    ShardEvent.ofLease(ShardEventKind.LEASE_LOST, context, "lease expired");
            actions.add(new LogShardEvent(event));
        }
        ShardStep step = new ShardStep(next, actions);
        step = step.then(planPlatformCall(step.state(), context, nowNanos));
        return lease.holding() ? step.then(sendDueOrders(step.state(), context, nowNanos)) : step;
    }

    private static Demand updateDemand(ShardState state, long nowNanos) {
        Demand demand = state.demand().withoutExpiredRequests(nowNanos);
        for (Placement placement : state.record().placements()) {
            if (placement.stage() == PlacementStage.LOADED) {
                ModelName name = UnloadPlanner.modelName(placement);
                demand = demand.withHistoryOf(name, nowNanos);
                if (onRunningIncarnation(state, placement)) {
                    demand = demand.withoutRequestsFor(name, nowNanos);
                }
            }
        }
        return demand;
    }

    private static boolean onRunningIncarnation(ShardState state, Placement placement) {
        return state.reports()
                .get(placement.server())
                .exists(report -> report.incarnation().equals(placement.incarnation()));
    }

    private static OtherShards updateOtherShards(ShardState state, ShardContext context) {
        OtherShards others = state.otherShards();
        for (ModelName name : state.demand().requestDeadlines().keySet()) {
            OtherShards known = others;
            others =
                    context.model(name.model())
                            .map(m -> known.withBudgetOf(m, context.configuration().version()))
                            .orElse(known);
        }
        return others;
    }

    private ShardStep planPlatformCall(ShardState state, ShardContext context, long nowNanos) {
        LeaseTimes times = context.settings().lease();
        if (!state.pendingCalls().allowsCallAt(nowNanos)) {
            return ShardStep.of(state);
        } else if (state.lease().version() < 0) {
            ShardState reading = state.withPendingCalls(state.pendingCalls().withRead());
            return new ShardStep(reading, List.of(new ReadObject()));
        } else if (!state.lease().holding()) {
            boolean mayTake =
                    !state.stopping()
                            && state.lease()
                                    .mayTake(
                                            times,
                                            state.record().lease(),
                                            context.rank(),
                                            nowNanos);
            return mayTake ? takeLease(state, context, nowNanos) : ShardStep.of(state);
        } else if (state.stopping()) {
            return releaseLease(state, context, nowNanos);
        } else if (state.lease().mayDecide(times, nowNanos)) {
            return planPlacements(state, context, nowNanos);
        }
        return planWrite(state, state.record(), context.host(), List.of(), context, nowNanos);
    }

    private ShardStep takeLease(ShardState state, ShardContext context, long nowNanos) {
        long term = state.record().lease().term() + 1;
        ShardEvent event = ShardEvent.ofLease(ShardEventKind.LEASE_TAKEN, context, "term " + term);
        ShardRecord next = state.record().withLease(new LeaseRecord(context.host(), term, "", 0));
        return planWrite(state, next, context.host(), List.of(event), context, nowNanos);
    }

    private ShardStep releaseLease(ShardState state, ShardContext context, long nowNanos) {
        ShardEvent event =
                ShardEvent.ofLease(ShardEventKind.LEASE_RELEASED, context, "planned stop");
        return planWrite(state, state.record(), "", List.of(event), context, nowNanos);
    }

    private ShardStep planPlacements(ShardState state, ShardContext context, long nowNanos) {
        PlacementPlanner planner = new PlacementPlanner(state, context, nowNanos);
        Duration sinceListing =
                Duration.ofNanos(nowNanos - state.otherShards().listRequestedNanos());
        boolean listDue =
                planner.waitsForOtherShards() && sinceListing.compareTo(LIST_INTERVAL) >= 0;
        ShardState next =
                listDue
                        ? state.withOtherShards(state.otherShards().withListRequested(nowNanos))
                        : state;
        List<ShardAction> actions = listDue ? List.of(new ListShards()) : List.of();
        boolean renewalDue = state.lease().renewalDue(context.settings().lease(), nowNanos);
        ShardStep step = new ShardStep(next, actions);
        if (!planner.draft().hasChanges() && !renewalDue) {
            return step;
        }
        ShardRecordDraft draft = planner.draft();
        return step.then(
                planWrite(next, draft.record(), context.host(), draft.events(), context, nowNanos));
    }

    private ShardStep planWrite(
            ShardState state,
            ShardRecord record,
            String holder,
            List<ShardEvent> events,
            ShardContext context,
            long nowNanos) {
        LeaseRecord lease =
                new LeaseRecord(
                        holder,
                        record.lease().term(),
                        Long.toHexString(mRandom.nextLong()),
                        context.settings().lease().validity().toMillis());
        long version = state.lease().version();
        PendingWrite write = new PendingWrite(version, record.withLease(lease), nowNanos, events);
        ShardState next = state.withPendingCalls(state.pendingCalls().withWrite(write));
        return new ShardStep(next, List.of(new WriteObject(version, write.record())));
    }

    private static ShardStep sendDueOrders(ShardState state, ShardContext context, long nowNanos) {
        OrderLog log = state.orderLog();
        List<ShardAction> actions = new ArrayList<>();
        for (Order order : new OrderPlanner(state, context, nowNanos).dueOrders()) {
            log = log.withSent(order, nowNanos);
            actions.add(new SendOrder(order));
        }
        return new ShardStep(state.withOrderLog(log), actions);
    }
}
