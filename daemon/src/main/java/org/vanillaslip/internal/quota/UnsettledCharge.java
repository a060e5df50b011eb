package org.vanillaslip.internal.quota;

import org.vanillaslip.MonotonicClock;

/** A charge to an account whose actual token use is not yet known. */
record UnsettledCharge(QuotaAccount account, Charge charge, long chargedAt) {

    void settle(long usedTokens, MonotonicClock clock) {
        long used = Math.min(usedTokens, QuotaLimit.MAX_TOKENS);
        account.settle(charge, used * QuotaLimit.UNITS_PER_TOKEN, clock.nowNanos());
    }
}
