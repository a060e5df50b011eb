package org.vanillaslip.internal.platform;

/**
 * Versions of a store that can be restored from an older copy. Its revisions then go back and are
 * given out again, in a new era with a higher number. A version holds the era and the revision as
 * one number, so that each version of a new era is higher than all of the eras before.
 */
public final class StoreVersion {

    private static final int REVISION_BITS = 46;
    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
    private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

    private StoreVersion() {}

    /** Returns the version; throws if a part is negative or too large for it. */
    public static long of(long era, long revision) {
        if (era < 0 || era > MAX_ERA || revision < 0 || revision > MAX_REVISION) {
            throw new IllegalArgumentException(
                    "era " + era + " or revision " + revision + " is out of range");
        }
        return era << REVISION_BITS | revision;
    }

    /** Returns the number of the era, 0 for a store that names none. */
    public static long era(long version) {
        return version >> REVISION_BITS;
    }

    /** Returns the revision within the era. */
    public static long revision(long version) {
        return version & MAX_REVISION;
    }
}
