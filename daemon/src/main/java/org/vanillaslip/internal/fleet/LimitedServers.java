package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Decides when servers that limit their requests get calls. */
final class LimitedServers {

    /** A call that asks whether a limit still holds is sent in the next calls' time. */
    private static final long CONFIRMATION_TIME_NANOS = Duration.ofSeconds(1).toNanos();

    private final PermitSource mPermits;

    LimitedServers(PermitSource permits) {
        mPermits = permits;
    }

    /** Returns whether any of the servers limits its requests. */
    static boolean hasLimited(Iterable<FleetMember> servers) {
        for (FleetMember server : servers) {
            if (server.limit().isLimited()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the servers to choose from. Servers without a limit come first, so that no call waits
     * or is refused for a limit while others have room. But a server whose limit has not been
     * confirmed for a while gets a call: only an answer shows whether the limit still holds.
     *
     * @param available servers that can take a call now
     */
    List<FleetMember> preferred(List<FleetMember> available, long nowNanos) {
        if (!hasLimited(available)) {
            return available;
        }
        List<FleetMember> unlimited =
                available.stream().filter(server -> !server.limit().isLimited()).toList();
        List<FleetMember> unconfirmed =
                available.stream()
                        .filter(server -> server.limit().isConfirmationDue(nowNanos))
                        .toList();
        if (!unconfirmed.isEmpty()) {
            return unconfirmed;
        }
        return unlimited.isEmpty() ? available : unlimited;
    }

    /** Requests a permit for each server whose limit has not been confirmed for a while. */
    void requestConfirmations(List<FleetMember> servers, long nowNanos) {
        for (FleetMember server : servers) {
            if (server.limit().isConfirmationDue(nowNanos) && !server.pause().holds(nowNanos)) {
                mPermits.request(server, 1, nowNanos + CONFIRMATION_TIME_NANOS);
            }
        }
    }

    /** Requests permits for waiting calls, shared among the servers with a limit. */
    void requestPermits(List<FleetMember> servers, int calls, long deadlineNanos, long nowNanos) {
        List<FleetMember> limited =
                servers.stream()
                        .filter(server -> server.limit().isLimited())
                        .filter(server -> server.canAcceptCallWithPermit(nowNanos))
                        .toList();
        for (FleetMember server : limited) {
            int share = (calls + limited.size() - 1) / limited.size();
            mPermits.request(server, share, deadlineNanos);
        }
    }

    /** Returns the capacity of the servers if all have a limit. */
    Optional<LimitedCapacity> capacity(List<FleetMember> servers, long nowNanos) {
        if (servers.isEmpty() || servers.stream().anyMatch(one -> !one.limit().isLimited())) {
            return Optional.empty();
        }
        long wait = Long.MAX_VALUE;
        double perSecond = 0;
        for (FleetMember server : servers) {
            long next = server.permits().nextTime(nowNanos).orElse(nowNanos);
            wait = Math.min(wait, Math.max(0, next - nowNanos));
            perSecond += server.limit().permittedPerSecond();
        }
        return Optional.of(new LimitedCapacity(nowNanos + wait, perSecond));
    }
}
