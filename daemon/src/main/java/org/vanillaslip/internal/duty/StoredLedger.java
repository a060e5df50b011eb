package org.vanillaslip.internal.duty;

import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.usage.UsageLedger;

/** A ledger with its version in the store. */
record StoredLedger(UsageLedger ledger, long version) {

    /** Returns the number of restores of the store; one that names no era has none. */
    static long restores(long version) {
        return Math.max(0, StoreVersion.era(version) - 1);
    }

    /** Returns whether the store was restored since the ledger was written. */
    boolean mayHaveLostChanges() {
        return ledger.restores() < restores(version);
    }
}
