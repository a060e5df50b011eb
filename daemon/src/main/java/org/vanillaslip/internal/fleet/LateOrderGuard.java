package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.time.InstantSource;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Finds the servers that this host must not order yet because of orders of previous holders. */
final class LateOrderGuard {

    /** The wall clocks of two machines may differ by this much, as they can jump by seconds. */
    private static final Duration CLOCK_ERROR = Duration.ofSeconds(5);

    private final FleetLease mLease;
    private final DecisionLoop mLoop;
    private final InstantSource mWallClock;

    LateOrderGuard(FleetLease lease, DecisionLoop loop, InstantSource wallClock) {
        mLease = lease;
        mLoop = loop;
        mWallClock = wallClock;
    }

    /** Returns whether an order to the server could come in turn with one of another host. */
    boolean mustWait(FleetMember member) {
        return mayFitAfterRestart(member);
    }

    /**
     * A restarted server reaches again the order count that an order sent before its restart
     * expects. Without a restart, the first order of this host makes the count exceed it.
     */
    private boolean mayFitAfterRestart(FleetMember member) {
        return !member.firstStart()
                && age(member).compareTo(UnconfirmedOrders.MAX_EXECUTION_DELAY) <= 0
                && mLease.previousOrders()
                        .mayReach(member.instance(), Duration.ZERO, mLoop.clock().nowNanos());
    }

    /** Returns the least time that can have passed since the server started. */
    Duration age(FleetMember member) {
        return Duration.ofMillis(mWallClock.millis() - member.registered().startedAtMillis())
                .minus(CLOCK_ERROR);
    }
}
