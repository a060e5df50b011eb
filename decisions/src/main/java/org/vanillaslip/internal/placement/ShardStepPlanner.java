package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.lease.LeaseRecord;
import org.vanillaslip.internal.lease.LeaseState;
import org.vanillaslip.internal.lease.LeaseTimes;

/** What a host does next for a shard, whatever the last event was. */
final class ShardStepPlanner {

    // Listing is a call to the platform for all shards, so it is not made for every waiting model.
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);

    private final RandomGenerator mRandom;

    ShardStepPlanner(RandomGenerator random) {
        mRandom = random;
    }

    ShardStep advance(ShardState state, ShardContext context, long now) {
        LeaseState lease = state.lease().expire(context.settings().lease(), now);
        ShardState next =
                state.withLease(lease)
                        .withDemand(updateDemand(state, now))
                        .withOtherShards(updateOtherShards(state, context));
        List<ShardAction> actions = new ArrayList<>();
        if (state.lease().holding() && !lease.holding()) {
            ShardEvent notice =
                    ShardEvent.ofLease(ShardEventKind.LEASE_LOST, context, "validity passed");
            actions.add(new LogShardEvent(notice));
        }
        ShardStep step = new ShardStep(next, actions);
        step = step.then(planPlatformCall(step.state(), context, now));
        return lease.holding() ? step.then(sendDueOrders(step.state(), context, now)) : step;
    }

    private static Demand updateDemand(ShardState state, long now) {
        Demand demand = state.demand().withoutExpiredRequests(now);
        for (Placement placement : state.record().placements()) {
            if (placement.stage() == PlacementStage.LOADED) {
                ModelName name = UnloadPlanner.modelName(placement);
                demand = demand.withHistoryOf(name, now);
                if (onRunningIncarnation(state, placement)) {
                    demand = demand.withoutRequestsFor(name, now);
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

    private ShardStep planPlatformCall(ShardState state, ShardContext context, long now) {
        LeaseTimes times = context.settings().lease();
        if (!state.pendingCalls().allowsCallAt(now)) {
            return ShardStep.of(state);
        } else if (state.lease().version() < 0) {
            ShardState reading = state.withPendingCalls(state.pendingCalls().withRead());
            return new ShardStep(reading, List.of(new ReadObject()));
        } else if (!state.lease().holding()) {
            boolean take =
                    !state.stopping()
                            && state.lease()
                                    .mayTake(times, state.record().lease(), context.rank(), now);
            return take ? takeLease(state, context, now) : ShardStep.of(state);
        } else if (state.stopping()) {
            return releaseLease(state, context, now);
        } else if (state.lease().mayDecide(times, now)) {
            return planPlacements(state, context, now);
        }
        return planWrite(state, state.record(), context.host(), List.of(), context, now);
    }

    private ShardStep takeLease(ShardState state, ShardContext context, long now) {
        long term = state.record().lease().term() + 1;
        ShardEvent notice = ShardEvent.ofLease(ShardEventKind.LEASE_TAKEN, context, "term " + term);
        ShardRecord next = state.record().withLease(new LeaseRecord(context.host(), term, "", 0));
        return planWrite(state, next, context.host(), List.of(notice), context, now);
    }

    private ShardStep releaseLease(ShardState state, ShardContext context, long now) {
        ShardEvent notice =
                ShardEvent.ofLease(ShardEventKind.LEASE_RELEASED, context, "planned stop");
        return planWrite(state, state.record(), "", List.of(notice), context, now);
    }

    private ShardStep planPlacements(ShardState state, ShardContext context, long now) {
        PlacementPlanner plan = new PlacementPlanner(state, context, now);
        Duration sinceList = Duration.ofNanos(now - state.otherShards().listRequestedNanos());
        boolean list = plan.waitsForOtherShards() && sinceList.compareTo(LIST_INTERVAL) >= 0;
        ShardState next =
                list ? state.withOtherShards(state.otherShards().withListRequested(now)) : state;
        List<ShardAction> actions = list ? List.of(new ListShards()) : List.of();
        boolean due = state.lease().renewalDue(context.settings().lease(), now);
        ShardStep step = new ShardStep(next, actions);
        if (!plan.draft().hasChanges() && !due) {
            return step;
        }
        ShardRecordDraft draft = plan.draft();
        return step.then(
                planWrite(next, draft.record(), context.host(), draft.events(), context, now));
    }

    private ShardStep planWrite(
            ShardState state,
            ShardRecord record,
            String holder,
            List<ShardEvent> notices,
            ShardContext context,
            long now) {
        LeaseRecord lease =
                new LeaseRecord(
                        holder,
                        record.lease().term(),
                        Long.toHexString(mRandom.nextLong()),
                        context.settings().lease().validity().toMillis());
        long version = state.lease().version();
        PendingWrite write = new PendingWrite(version, record.withLease(lease), now, notices);
        ShardState next = state.withPendingCalls(state.pendingCalls().withWrite(write));
        return new ShardStep(next, List.of(new WriteObject(version, write.record())));
    }

    private static ShardStep sendDueOrders(ShardState state, ShardContext context, long now) {
        OrderLog log = state.orderLog();
        List<ShardAction> actions = new ArrayList<>();
        for (Order order : new OrderPlanner(state, context, now).dueOrders()) {
            log = log.withSent(order, now);
            actions.add(new SendOrder(order));
        }
        return new ShardStep(state.withOrderLog(log), actions);
    }
}
