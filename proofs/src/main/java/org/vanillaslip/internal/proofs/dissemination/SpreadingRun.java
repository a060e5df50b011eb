package org.vanillaslip.internal.proofs.dissemination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Plays one way of spreading in rounds of one interval. Each host makes one item; the run ends when
 * all live hosts know the items of all that were live.
 */
final class SpreadingRun {

    /** Rounds after which a host notices that another one is lost: three heartbeats. */
    static final int NOTICE_ROUNDS = 15;

    private static final int MOST_ROUNDS = 100;

    private final Fleet mFleet;
    private final Spreading mSpreading;
    private final double mLoss;
    private final List<Integer> mKilled;
    private final boolean mSummed;
    private final RandomGenerator mRandom;
    private final List<BitSet> mKnown = new ArrayList<>();
    private final long[] mMessages;
    private long mItems;
    private int mRounds;

    /**
     * Creates a run.
     *
     * @param loss probability that a message is lost
     * @param killed hosts that stop at the start, which the others notice later
     * @param summed whether a message holds one sum in place of all items
     */
    SpreadingRun(
            Fleet fleet,
            Spreading spreading,
            double loss,
            List<Integer> killed,
            boolean summed,
            long seed) {
        mFleet = fleet;
        mSpreading = spreading;
        mLoss = loss;
        mKilled = killed;
        mSummed = summed;
        mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        mMessages = new long[fleet.size()];
        for (int host = 0; host < fleet.size(); host++) {
            BitSet known = new BitSet(fleet.size());
            known.set(host);
            mKnown.add(known);
        }
    }

    /** Plays until all know all, or until the longest run has passed. */
    SpreadingRun play() {
        while (!complete() && mRounds < MOST_ROUNDS) {
            round();
        }
        return this;
    }

    /** Returns the rounds that were played. */
    int rounds() {
        return mRounds;
    }

    /** Returns whether every live host knows the items of every live host. */
    boolean complete() {
        for (int host = 0; host < mFleet.size(); host++) {
            for (int other = 0; other < mFleet.size(); other++) {
                boolean live = !mKilled.contains(host) && !mKilled.contains(other);
                if (live && !mKnown.get(host).get(other)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns the messages that one host sends in a round, on average. */
    double meanMessages() {
        long sum = 0;
        for (long messages : mMessages) {
            sum += messages;
        }
        return (double) sum / mFleet.size() / mRounds;
    }

    /** Returns the messages in a round of the host that sends most. */
    double mostMessages() {
        long most = 0;
        for (long messages : mMessages) {
            most = Math.max(most, messages);
        }
        return (double) most / mRounds;
    }

    /** Returns the items that one host sends in a round, on average; a sum is one item. */
    double meanItems() {
        return (double) mItems / mFleet.size() / mRounds;
    }

    private void round() {
        boolean[] lost = new boolean[mFleet.size()];
        if (mRounds >= NOTICE_ROUNDS) {
            mKilled.forEach(host -> lost[host] = true);
        }
        List<BitSet> before = new ArrayList<>();
        mKnown.forEach(known -> before.add((BitSet) known.clone()));
        for (int host = 0; host < mFleet.size(); host++) {
            if (mKilled.contains(host)) {
                continue;
            }
            BitSet known = before.get(host);
            for (int receiver : mSpreading.receivers(mFleet, host, lost, mRandom)) {
                mMessages[host]++;
                mItems += mSummed ? 1 : known.cardinality();
                if (mRandom.nextDouble() >= mLoss) {
                    mKnown.get(receiver).or(known);
                }
            }
        }
        mRounds++;
    }
}
