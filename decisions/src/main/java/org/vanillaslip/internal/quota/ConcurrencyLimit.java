package org.vanillaslip.internal.quota;

import org.vanillaslip.SlowStart;

/** Concurrent requests that a server bears by the time since its start. */
public final class ConcurrencyLimit {

    private ConcurrencyLimit() {}

    /** Returns the limit, which grows linearly from initial to full over the ramp. */
    public static int at(SlowStart slowStart, long uptimeNanos) {
        long ramp = slowStart.ramp().toNanos();
        if (uptimeNanos >= ramp) {
            return slowStart.fullConcurrency();
        }
        double grown = slowStart.fullConcurrency() - slowStart.initialConcurrency();
        double part = (double) Math.max(0, uptimeNanos) / ramp;
        return slowStart.initialConcurrency() + (int) Math.floor(grown * part);
    }
}
