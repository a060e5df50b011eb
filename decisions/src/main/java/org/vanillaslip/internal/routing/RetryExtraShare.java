package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Part of the extra retries of all hosts that this host may send in a window, so that the parts add
 * up to no more than the whole while hosts start, stop, fail and lose their connections.
 */
public final class RetryExtraShare {

    /** The rest is for hosts that do not know yet that there are more of them. */
    private static final double DIVIDED_PART = 0.9;

    /** Time in which all hosts with a connection learn that a host was listed. */
    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(5);

    /**
     * A host that hears nothing of the store for longer may have been removed from the list. The
     * others reserve its part for as long after its removal.
     */
    private static final Duration MAX_STORE_SILENCE = Duration.ofSeconds(60);

    private final String mSelf;
    private final double mExtra;
    private final long mListedTimeNanos;
    private final long mMemoryNanos;
    private final Map<String, Long> mLastListed = new HashMap<>();
    private Set<String> mListed = Set.of();
    private boolean mEligible;
    private long mEligibleSince;

    /**
     * Creates the share of a host that has just started.
     *
     * @param extra extra retries of all hosts in a window
     */
    public RetryExtraShare(String self, double extra, Duration window) {
        mSelf = self;
        mExtra = extra;
        mListedTimeNanos = window.plus(PROPAGATION_TIME).toNanos();
        mMemoryNanos = window.plus(MAX_STORE_SILENCE).toNanos();
    }

    /**
     * Updates the share; called on each change of the list and before each use.
     *
     * @param listed names of the listed hosts; empty until the list was read
     * @param storeSilenceNanos time since the store last answered any host that tells this one
     */
    public void update(Set<String> listed, long storeSilenceNanos, long nowNanos) {
        mListed.forEach(name -> mLastListed.put(name, nowNanos));
        mListed = Set.copyOf(listed);
        mListed.forEach(name -> mLastListed.put(name, nowNanos));
        mLastListed.values().removeIf(lastListed -> nowNanos - lastListed > mMemoryNanos);
        boolean eligible =
                mListed.contains(mSelf) && storeSilenceNanos <= MAX_STORE_SILENCE.toNanos();
        if (eligible && !mEligible) {
            mEligibleSince = nowNanos;
        }
        mEligible = eligible;
    }

    /**
     * Returns the share; none until this host has been listed for a window, because its earlier
     * process may have used the share in that window, or other hosts their larger shares.
     */
    public double retries(long nowNanos) {
        if (!mEligible || nowNanos - mEligibleSince < mListedTimeNanos) {
            return 0;
        }
        return mExtra * DIVIDED_PART / hosts();
    }

    /** Returns the number of hosts among which the extra retries are divided. */
    public int hosts() {
        return Math.max(1, mLastListed.size());
    }
}
