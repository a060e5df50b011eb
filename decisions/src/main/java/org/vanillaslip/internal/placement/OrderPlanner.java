package org.vanillaslip.internal.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendServer;

/** Selects the orders to send for recorded decisions whose outcome is unknown. */
final class OrderPlanner {

    private final ShardState mState;
    private final ShardContext mContext;
    private final long mNowNanos;

    OrderPlanner(ShardState state, ShardContext context, long nowNanos) {
        mState = state;
        mContext = context;
        mNowNanos = nowNanos;
    }

    List<Order> dueOrders() {
        List<Order> orders = new ArrayList<>();
        for (Placement placement : mState.record().placements()) {
            Optional<BackendServer> server = mContext.server(placement.server());
            if (placement.unresolved() && server.isPresent() && keptByUnresolvedWrites(placement)) {
                placementOrder(placement, server.get()).ifPresent(orders::add);
            }
        }
        mContext.servers().forEach(server -> fenceOrder(server).ifPresent(orders::add));
        mState.record().offline().stream()
                .filter(load -> !load.active())
                .forEach(load -> voidOrder(load).ifPresent(orders::add));
        return orders;
    }

    private Optional<Order> voidOrder(OfflineLoad load) {
        Option<VoidOrder> last = mState.orderLog().voidOrders().get(load.decision());
        return mState.reports()
                .get(load.server())
                .toJavaOptional()
                .filter(report -> !report.refusedDecisions().contains(load.decision()))
                .filter(
                        report ->
                                last.forAll(
                                        sent ->
                                                !sent.incarnation().equals(report.incarnation())
                                                        || sent.acceptedNanos() == Long.MAX_VALUE
                                                                && retryDue(sent.sentNanos())))
                .map(report -> orderWithoutModel(OrderAction.VOID, load.decision(), report));
    }

    private Optional<Order> placementOrder(Placement placement, BackendServer server) {
        // A decision of an earlier term on a server that checks terms is resolved by a fence order
        // instead: its order may have been refused already, and sending it again would leave its
        // outcome open again.
        boolean fenced = server.checksFencing() && placement.term() < mState.lease().term();
        Long sentAt = mState.orderLog().sentAt().getOrElse(placement.decision(), Long.MIN_VALUE);
        if (fenced || !retryDue(sentAt) || serverRestarted(placement) || !baseLoaded(placement)) {
            return Optional.empty();
        }
        boolean load = placement.stage() == PlacementStage.LOAD_ORDERED;
        String source =
                new LoadTargetSelector(mState, mContext, mNowNanos)
                        .checkpointSource(placement.model(), placement.server());
        return Optional.of(
                new Order(
                        placement.decision(),
                        mState.lease().term(),
                        placement.server(),
                        placement.incarnation(),
                        load ? OrderAction.LOAD : OrderAction.UNLOAD,
                        placement.model(),
                        placement.version(),
                        placement.adapter(),
                        source));
    }

    private Optional<Order> fenceOrder(BackendServer server) {
        boolean needed =
                mState.record().placements().stream()
                        .filter(p -> p.server().equals(server.name()) && p.unresolved())
                        .anyMatch(p -> p.term() < mState.lease().term());
        Long sentAt = mState.orderLog().fenceSentAt().getOrElse(server.name(), Long.MIN_VALUE);
        return mState.reports()
                .get(server.name())
                .toJavaOptional()
                .filter(report -> needed && server.checksFencing() && retryDue(sentAt))
                .filter(report -> report.highestTerm() < mState.lease().term())
                .map(report -> orderWithoutModel(OrderAction.FENCE, 0, report));
    }

    private Order orderWithoutModel(OrderAction action, long decision, ServerReport report) {
        return new Order(
                decision,
                mState.lease().term(),
                report.server(),
                report.incarnation(),
                action,
                "",
                "",
                "",
                "");
    }

    // A decision that an unresolved write would revoke must not be executed any more.
    private boolean keptByUnresolvedWrites(Placement placement) {
        return mState.pendingCalls()
                .unresolvedWrites()
                .forAll(write -> write.record().placements().contains(placement));
    }

    private boolean retryDue(Long sentAt) {
        return sentAt == Long.MIN_VALUE
                || mNowNanos - sentAt >= mContext.settings().orderRetryInterval().toNanos();
    }

    private boolean serverRestarted(Placement placement) {
        return mState.reports()
                .get(placement.server())
                .exists(report -> !report.incarnation().equals(placement.incarnation()));
    }

    private boolean baseLoaded(Placement placement) {
        return placement.adapter().isEmpty()
                || mState.record().placements().stream()
                        .anyMatch(
                                p ->
                                        p.server().equals(placement.server())
                                                && p.isFor(
                                                        placement.model(), placement.version(), "")
                                                && p.stage() == PlacementStage.LOADED);
    }
}
