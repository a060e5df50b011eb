package org.vanillaslip.internal.fleet;

/** Comparisons of terms of the lease on orders. */
public final class LeaseTerms {

    private LeaseTerms() {}

    /**
     * Returns whether the store was restored between two terms, so that what the holder of the
     * earlier one stored last may be lost.
     */
    public static boolean isOfEarlierEra(long term, long laterTerm) {
        return restores(term) < restores(laterTerm);
    }

    private static long restores(long term) {
        return (term - FleetLease.FIRST_TERM) >> FleetLease.TERM_BITS_PER_ERA;
    }
}
