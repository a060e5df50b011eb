package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Tracks which orders are still unanswered when the lease passes from one holder to the next. */
final class LeaseHandover {

    private final Duration mDelay;
    private PreviousOrders mOfOtherHosts = PreviousOrders.NONE;
    private PreviousOrders mOfEarlierProcess = PreviousOrders.NONE;
    private Supplier<Set<String>> mUnansweredServers = Set::of;

    /**
     * Creates the state of a host that has not held the lease.
     *
     * @param delay time between the last order of a holder and the first of the next one
     */
    LeaseHandover(Duration delay) {
        mDelay = delay;
    }

    /** Sets the source of the servers that have not answered an order of this host. */
    void unansweredServers(Supplier<Set<String>> servers) {
        mUnansweredServers = servers;
    }

    /** Returns the time between the last order of a holder and the first of the next one. */
    Duration delay() {
        return mDelay;
    }

    /** Returns the orders of previous holders that servers may still execute. */
    PreviousOrders ofOtherHosts() {
        return mOfOtherHosts;
    }

    /** Records that this host succeeds another one. */
    void succeedOtherHost(Optional<Set<String>> unanswered, long nowNanos) {
        mOfOtherHosts = PreviousOrders.sentUntil(nowNanos, unanswered);
    }

    /** Records that this process succeeds another one of this host, which wrote the entry. */
    void succeedOwnProcess(LeaseEntry entry, long nowNanos) {
        mOfEarlierProcess = PreviousOrders.sentUntil(nowNanos, Optional.empty());
        mOfOtherHosts =
                entry.lateOrders().isZero()
                        ? PreviousOrders.NONE
                        : new PreviousOrders(
                                Optional.empty(),
                                nowNanos + entry.lateOrders().minus(mDelay).toNanos());
    }

    /** Returns the servers that the next host has to consider, if they are known. */
    Optional<Set<String>> unanswered(long nowNanos) {
        return mOfEarlierProcess
                .serversAfter(mUnansweredServers.get(), nowNanos)
                .flatMap(servers -> mOfOtherHosts.serversAfter(servers, nowNanos));
    }

    /** Returns how long the holder has to consider orders of previous holders. */
    Duration remaining(long nowNanos) {
        return mOfOtherHosts.remaining(mDelay, nowNanos);
    }
}
