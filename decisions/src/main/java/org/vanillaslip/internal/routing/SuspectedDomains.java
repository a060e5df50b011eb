package org.vanillaslip.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.FailureDomain;

/**
 * Failure domains in which this host could not reach several servers. A failure domain usually
 * fails as a whole, so the next calls avoid the other servers of such a domain.
 */
public final class SuspectedDomains {

    /** A single unreachable server does not indicate a failure of its domain. */
    private static final int MIN_UNREACHABLE_SERVERS = 2;

    private final Map<FailureDomain, Integer> mUnreachableServers = new HashMap<>();

    /** Counts the server if it was recently unreachable. */
    public void addServer(FailureDomain domain, ServerHealth health, long nowNanos) {
        if (health.recentlyUnreachable(nowNanos)) {
            mUnreachableServers.merge(domain, 1, Integer::sum);
        }
    }

    /** Returns whether a server is likely to be unreachable like other servers of its domain. */
    public boolean isSuspected(FailureDomain domain, ServerHealth health, long nowNanos) {
        return mUnreachableServers.getOrDefault(domain, 0) >= MIN_UNREACHABLE_SERVERS
                && !health.recentlySucceeded(nowNanos);
    }
}
