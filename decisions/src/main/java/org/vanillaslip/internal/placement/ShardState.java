package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.internal.lease.LeaseState;

/**
 * What one host knows about a shard.
 *
 * @param record content of the last version seen
 * @param reports last report by server
 * @param others records of the other shards as last listed
 * @param confirmed object version that each host of the domain has confirmed
 */
public record ShardState(
        LeaseState lease,
        ShardRecord record,
        PendingCalls writes,
        Map<String, ServerReport> reports,
        OrderLog orders,
        Demand demand,
        OtherShards others,
        Map<String, VersionConfirmation> confirmed,
        boolean stopping) {

    /** Returns the state of a host that knows nothing yet. */
    public static ShardState initial(long nowNanos) {
        return new ShardState(
                LeaseState.unknown(nowNanos),
                ShardRecord.EMPTY,
                PendingCalls.idle(nowNanos),
                HashMap.empty(),
                OrderLog.empty(),
                Demand.none(),
                OtherShards.unknown(),
                HashMap.empty(),
                false);
    }

    ShardState withLease(LeaseState value) {
        return new ShardState(
                value, record, writes, reports, orders, demand, others, confirmed, stopping);
    }

    ShardState withRecord(ShardRecord value) {
        return new ShardState(
                lease, value, writes, reports, orders, demand, others, confirmed, stopping);
    }

    ShardState withWrites(PendingCalls value) {
        return new ShardState(
                lease, record, value, reports, orders, demand, others, confirmed, stopping);
    }

    ShardState withReport(ServerReport value) {
        return new ShardState(
                lease,
                record,
                writes,
                reports.put(value.server(), value),
                orders,
                demand,
                others,
                confirmed,
                stopping);
    }

    ShardState withOrders(OrderLog value) {
        return new ShardState(
                lease, record, writes, reports, value, demand, others, confirmed, stopping);
    }

    ShardState withDemand(Demand value) {
        return new ShardState(
                lease, record, writes, reports, orders, value, others, confirmed, stopping);
    }

    ShardState withOthers(OtherShards value) {
        return new ShardState(
                lease, record, writes, reports, orders, demand, value, confirmed, stopping);
    }

    ShardState withConfirmed(String host, VersionConfirmation value) {
        return new ShardState(
                lease,
                record,
                writes,
                reports,
                orders,
                demand,
                others,
                confirmed.put(host, value),
                stopping);
    }

    ShardState stopped() {
        return new ShardState(
                lease, record, writes, reports, orders, demand, others, confirmed, true);
    }
}
