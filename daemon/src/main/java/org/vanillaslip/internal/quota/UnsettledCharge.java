package org.vanillaslip.internal.quota;

import org.vanillaslip.MonotonicClock;

/** A charge that is not settled yet. */
record UnsettledCharge(QuotaAccount account, Charge charge, long chargedAt) {

    void settle(long usedTokens, MonotonicClock clock) {
        long used = Math.min(usedTokens, QuotaLimit.MAX_TOKENS);
        account.settle(charge, used * QuotaLimit.UNITS_PER_TOKEN, clock.nowNanos());
    }
}
