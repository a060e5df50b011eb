package org.vanillaslip.internal.quota;

import org.vanillaslip.SlowStart;

/** Maximum number of concurrent requests on a server during its slow start. */
public final class ConcurrencyLimit {

    private ConcurrencyLimit() {}

    /**
     * Returns the limit, which grows linearly from the initial to the full concurrency during the
     * ramp.
     */
    public static int at(SlowStart slowStart, long uptimeNanos) {
        long rampNanos = slowStart.ramp().toNanos();
        if (uptimeNanos >= rampNanos) {
            return slowStart.fullConcurrency();
        }
        double range = slowStart.fullConcurrency() - slowStart.initialConcurrency();
        double elapsedFraction = (double) Math.max(0, uptimeNanos) / rampNanos;
        return slowStart.initialConcurrency() + (int) Math.floor(range * elapsedFraction);
    }
}
