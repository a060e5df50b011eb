package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** A simulated host with its own clock, which runs up to 1% slow. */
final class SimulatedHost {

    private final RandomGenerator mRandom;
    private final double mClockRate;
    private final long mClockOffset;
    private final Map<Long, Long> mSentAt = new HashMap<>();
    private final List<SimulatedMessage> mPending = new ArrayList<>();
    private final Map<Charge, Integer> mCharges = new LinkedHashMap<>();
    private final String mName;
    private QuotaAccount mAccount;
    private long mGeneration = -1;
    private long mFrozenUntil;

    SimulatedHost(String name, RandomGenerator random, long now) {
        mName = name;
        mRandom = random;
        mClockRate = 1 - random.nextInt(11) / 1000.0;
        mClockOffset = random.nextLong(1_000_000_000_000L);
        mAccount = newAccount(now);
    }

    String name() {
        return mName;
    }

    QuotaAccount account() {
        return mAccount;
    }

    Map<Charge, Integer> charges() {
        return mCharges;
    }

    List<SimulatedMessage> pending() {
        return mPending;
    }

    Map<Long, Long> sentAt() {
        return mSentAt;
    }

    long clock(long now) {
        return mClockOffset + (long) (now * mClockRate);
    }

    /** Returns the real time during which this host's clock advances by the given time. */
    long realNanos(long clockNanos) {
        return (long) (clockNanos / mClockRate);
    }

    /** Clears all state, as killing the process does. */
    void restart(long now) {
        mAccount = newAccount(now);
        mGeneration = -1;
        mSentAt.clear();
        mPending.clear();
        mCharges.clear();
    }

    void freeze(long until) {
        mFrozenUntil = until;
    }

    boolean isFrozen(long now) {
        return now < mFrozenUntil;
    }

    /** Applies a share table; returns whether this host may confirm a smaller share. */
    boolean applyShareTable(ShareTable table, double rate, long burst, long now) {
        mGeneration = Math.max(mGeneration, table.generation());
        double fraction = (double) table.partsOf(mName) / ShareTable.TOTAL_PARTS;
        mAccount.resize(rate * fraction, (long) (burst * fraction), clock(now));
        return mAccount.fitsCapacity(clock(now));
    }

    private QuotaAccount newAccount(long now) {
        QuotaTimes times = QuotaTimes.DEFAULT;
        long refillFrom = clock(now) + times.predecessorGrantLifetimeNanos();
        return new QuotaAccount(times, refillFrom, mRandom::nextLong);
    }
}
