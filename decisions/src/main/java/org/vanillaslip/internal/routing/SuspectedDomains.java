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
    private static final int LEAST_UNREACHABLE = 2;

    private final Map<FailureDomain, Integer> mUnreachable = new HashMap<>();

    /** Counts one server. */
    public void add(FailureDomain domain, ServerHealth health, long nowNanos) {
        if (health.unreachableAt(nowNanos)) {
            mUnreachable.merge(domain, 1, Integer::sum);
        }
    }

    /** Returns whether a server of the domain is likely to be out of reach like those beside it. */
    public boolean suspects(FailureDomain domain, ServerHealth health, long nowNanos) {
        return mUnreachable.getOrDefault(domain, 0) >= LEAST_UNREACHABLE
                && !health.succeededAt(nowNanos);
    }
}
