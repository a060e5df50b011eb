package org.vanillaslip.internal.quota;

import org.vanillaslip.MonotonicClock;

/** A charge that is not settled yet. */
record OpenCharge(QuotaAccount account, Charge charge, long chargedAt) {

    void settle(long usedTokens, MonotonicClock clock) {
        account.settle(charge, usedTokens * QuotaLimit.MICRO, clock.nowNanos());
    }
}
