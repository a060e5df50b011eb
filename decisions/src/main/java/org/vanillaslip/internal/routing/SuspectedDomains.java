package org.vanillaslip.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.FailureDomain;

/**
 * Failure domains of which this host reaches few servers. A domain fails as a whole, so what one
 * call has learned of some servers guides the next calls past those beside them.
 */
public final class SuspectedDomains {

    /** One server alone fails by itself. */
    private static final int MIN_UNREACHABLE_SERVERS = 2;

    private final Map<FailureDomain, Integer> mUnreachableServers = new HashMap<>();

    /** Counts one server. */
    public void addServer(FailureDomain domain, ServerHealth health, long nowNanos) {
        if (health.recentlyUnreachable(nowNanos)) {
            mUnreachableServers.merge(domain, 1, Integer::sum);
        }
    }

    /** Returns whether a server of the domain is likely to be out of reach like those beside it. */
    public boolean isSuspected(FailureDomain domain, ServerHealth health, long nowNanos) {
        return mUnreachableServers.getOrDefault(domain, 0) >= MIN_UNREACHABLE_SERVERS
                && !health.recentlySucceeded(nowNanos);
    }
}
