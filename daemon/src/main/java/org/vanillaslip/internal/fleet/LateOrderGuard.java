package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;

/**
 * Finds the servers that this host must not order yet because of orders of previous holders, and
 * the orders that have become too late because of this host's lease or their server.
 */
final class LateOrderGuard {

    /** The wall clocks of two machines may differ by this much, as they can jump by seconds. */
    private static final Duration CLOCK_ERROR = Duration.ofSeconds(5);

    private final FleetLease mLease;
    private final DecisionLoop mLoop;
    private final InstantSource mWallClock;
    private final EventLog mLog;
    private final Set<String> mLogged = new HashSet<>();
    private final Set<String> mSettled = new HashSet<>();

    LateOrderGuard(FleetLease lease, DecisionLoop loop, InstantSource wallClock, EventLog log) {
        mLease = lease;
        mLoop = loop;
        mWallClock = wallClock;
        mLog = log;
    }

    /** Forgets what was logged and settled, because this host has acquired or lost the lease. */
    void clear() {
        mLogged.clear();
        mSettled.clear();
    }

    /**
     * Records an answer to an order of this host. The first accepted one settles the orders of
     * other hosts, as they expect a lower count, so that a later rise of the count may be by an
     * unanswered order of this host. An order that already holds need not be counted by the server.
     */
    void recordAnswer(FleetMember member, long expectedOrders, OrderAnswer answer) {
        if (answer == OrderAnswer.ACCEPTED) {
            mSettled.add(member.startId());
        }
        boolean mayBeCounted =
                answer == OrderAnswer.ACCEPTED
                        || answer == OrderAnswer.ALREADY
                        || answer == OrderAnswer.UNKNOWN;
        if (mayBeCounted && mSettled.contains(member.startId())) {
            member.orderCounts().recordOwnOrder(expectedOrders);
        }
    }

    /** Returns whether the order may be written, asked again in that moment. */
    BooleanSupplier permission(FleetMember member, EngineOrder order) {
        return () -> mLease.mayOrder(order.term()) && member.inService();
    }

    /** Returns whether an order to the server could come in turn with one of another host. */
    boolean mustWait(FleetMember member) {
        boolean restarted = mayFitAfterRestart(member);
        boolean wait = restarted || hasJustExecutedOrder(member);
        if (wait && mLogged.add(member.startId())) {
            mLog.log(
                    FleetEvent.ORDERS_WAIT,
                    field("server", member.instance()),
                    field("born", member.registered().startedAtMillis()),
                    field("restarted", restarted),
                    field("orders", member.modelState().orderCount()));
        }
        return wait;
    }

    /** The orders of two hosts must be the handover delay apart, also if one is executed late. */
    private boolean hasJustExecutedOrder(FleetMember member) {
        long now = mLoop.clock().nowNanos();
        Duration delay = mLease.handover().delay();
        return now - member.orderCounts().raisedAtNanos() < delay.toNanos()
                && mLease.handover().ofOtherHosts().mayReach(member.instance(), delay, now);
    }

    /**
     * A restarted server reaches again the order count that an order sent before its restart
     * expects. Without a restart, the first order of this host makes the count exceed it, unless
     * the sender assumed a count ahead of the server's.
     */
    private boolean mayFitAfterRestart(FleetMember member) {
        return hasRestarted(member)
                && mLease.handover()
                        .ofOtherHosts()
                        .mayReach(member.instance(), Duration.ZERO, mLoop.clock().nowNanos());
    }

    /** A restart shows in the reported count before the list contains the new process. */
    private boolean hasRestarted(FleetMember member) {
        Duration delay = UnconfirmedOrders.MAX_EXECUTION_DELAY;
        long loweredAt = member.orderCounts().loweredAtNanos();
        return mLoop.clock().nowNanos() - loweredAt < delay.toNanos()
                || !member.firstStart() && age(member).compareTo(delay) <= 0;
    }

    /** Returns the least time that can have passed since the server started. */
    Duration age(FleetMember member) {
        return Duration.ofMillis(mWallClock.millis() - member.registered().startedAtMillis())
                .minus(CLOCK_ERROR);
    }
}
