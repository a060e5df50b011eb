package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.internal.lease.LeaseState;

/**
 * The state of a shard as known to one host.
 *
 * @param record content of the last version seen
 * @param reports last report by server
 * @param otherShards records of the other shards, as last listed
 * @param confirmations last confirmation of an object version by each host of the failure domain
 */
public record ShardState(
        LeaseState lease,
        ShardRecord record,
        PendingCalls pendingCalls,
        Map<String, ServerReport> reports,
        OrderLog orderLog,
        Demand demand,
        OtherShards otherShards,
        Map<String, VersionConfirmation> confirmations,
        boolean stopping) {

    /** Returns the state before the first event. */
    public static ShardState initial(long nowNanos) {
        return new ShardState(
                LeaseState.unknown(nowNanos),
                ShardRecord.EMPTY,
                PendingCalls.none(nowNanos),
                HashMap.empty(),
                OrderLog.empty(),
                Demand.none(),
                OtherShards.unknown(),
                HashMap.empty(),
                false);
    }

    ShardState withLease(LeaseState value) {
        return new ShardState(
                value,
                record,
                pendingCalls,
                reports,
                orderLog,
                demand,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withRecord(ShardRecord value) {
        return new ShardState(
                lease,
                value,
                pendingCalls,
                reports,
                orderLog,
                demand,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withPendingCalls(PendingCalls value) {
        return new ShardState(
                lease,
                record,
                value,
                reports,
                orderLog,
                demand,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withReport(ServerReport value) {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports.put(value.server(), value),
                orderLog,
                demand,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withOrderLog(OrderLog value) {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports,
                value,
                demand,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withDemand(Demand value) {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports,
                orderLog,
                value,
                otherShards,
                confirmations,
                stopping);
    }

    ShardState withOtherShards(OtherShards value) {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports,
                orderLog,
                demand,
                value,
                confirmations,
                stopping);
    }

    ShardState withConfirmation(String host, VersionConfirmation value) {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports,
                orderLog,
                demand,
                otherShards,
                confirmations.put(host, value),
                stopping);
    }

    ShardState withStopping() {
        return new ShardState(
                lease,
                record,
                pendingCalls,
                reports,
                orderLog,
                demand,
                otherShards,
                confirmations,
                true);
    }
}
