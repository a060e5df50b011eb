package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Orders of previous lease holders that got no answer, and that servers may still execute.
 *
 * @param servers servers to which such orders were sent; empty if it may be any server
 * @param untilNanos when the last of them can be executed
 */
public record PreviousOrders(Optional<Set<String>> servers, long untilNanos) {

    /** No other host has sent orders. */
    public static final PreviousOrders NONE = new PreviousOrders(Optional.of(Set.of()), 0);

    /** Returns the orders of a holder that has just been succeeded. */
    public static PreviousOrders sentUntil(long nowNanos, Optional<Set<String>> servers) {
        return new PreviousOrders(
                servers, nowNanos + UnconfirmedOrders.MAX_EXECUTION_DELAY.toNanos());
    }

    /** Returns the time that is left until the given time after the last of them, or zero. */
    public Duration remaining(Duration after, long nowNanos) {
        long left = untilNanos + after.toNanos() - nowNanos;
        boolean none = servers.map(Set::isEmpty).orElse(false);
        return Duration.ofNanos(none ? 0 : Math.max(0, left));
    }

    /** Returns whether the server may execute such an order, or has done so within the time. */
    public boolean mayReach(String server, Duration within, long nowNanos) {
        return nowNanos - untilNanos < within.toNanos()
                && servers.map(known -> known.contains(server)).orElse(true);
    }

    /**
     * Returns the servers that the next holder has to consider after this host, if it is known.
     *
     * @param unanswered servers that have not answered orders of this host
     */
    public Optional<Set<String>> serversAfter(Collection<String> unanswered, long nowNanos) {
        boolean over = nowNanos - untilNanos >= 0;
        return (over ? Optional.of(Set.<String>of()) : servers)
                .map(
                        known -> {
                            Set<String> all = new HashSet<>(known);
                            all.addAll(unanswered);
                            return all;
                        });
    }
}
