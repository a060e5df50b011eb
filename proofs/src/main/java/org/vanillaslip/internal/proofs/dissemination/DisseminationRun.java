package org.vanillaslip.internal.proofs.dissemination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Simulates one dissemination strategy in rounds of one interval. Each host originates one item;
 * the run ends when every live host has the items of all live hosts.
 */
final class DisseminationRun {

    /** Rounds after which a host detects the failure of another one: three heartbeats. */
    static final int FAILURE_DETECTION_ROUNDS = 15;

    private static final int MAX_ROUNDS = 100;

    private final Fleet mFleet;
    private final DisseminationStrategy mStrategy;
    private final double mLossProbability;
    private final List<Integer> mStoppedHosts;
    private final boolean mAggregated;
    private final RandomGenerator mRandom;
    private final List<BitSet> mKnownItems = new ArrayList<>();
    private final long[] mMessages;
    private long mItems;
    private int mRounds;

    /**
     * Creates a run.
     *
     * @param lossProbability probability that a message is lost
     * @param stoppedHosts hosts that fail at the start, which the others detect later
     * @param aggregated whether a message carries one sum instead of all items
     */
    DisseminationRun(
            Fleet fleet,
            DisseminationStrategy strategy,
            double lossProbability,
            List<Integer> stoppedHosts,
            boolean aggregated,
            long seed) {
        mFleet = fleet;
        mStrategy = strategy;
        mLossProbability = lossProbability;
        mStoppedHosts = stoppedHosts;
        mAggregated = aggregated;
        mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        mMessages = new long[fleet.hostCount()];
        for (int host = 0; host < fleet.hostCount(); host++) {
            BitSet known = new BitSet(fleet.hostCount());
            known.set(host);
            mKnownItems.add(known);
        }
    }

    /** Runs rounds until the run is complete or the maximum number of rounds is reached. */
    DisseminationRun run() {
        while (!isComplete() && mRounds < MAX_ROUNDS) {
            runRound();
        }
        return this;
    }

    /** Returns the number of rounds that were run. */
    int rounds() {
        return mRounds;
    }

    /** Returns whether every live host has the items of every live host. */
    boolean isComplete() {
        for (int host = 0; host < mFleet.hostCount(); host++) {
            for (int other = 0; other < mFleet.hostCount(); other++) {
                boolean live = !mStoppedHosts.contains(host) && !mStoppedHosts.contains(other);
                if (live && !mKnownItems.get(host).get(other)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns the mean number of messages that a host sends in a round. */
    double meanMessages() {
        long sum = 0;
        for (long messages : mMessages) {
            sum += messages;
        }
        return (double) sum / mFleet.hostCount() / mRounds;
    }

    /** Returns the mean number of messages per round of the host that sends the most. */
    double maxMessages() {
        long max = 0;
        for (long messages : mMessages) {
            max = Math.max(max, messages);
        }
        return (double) max / mRounds;
    }

    /** Returns the mean number of items that a host sends in a round; a sum is one item. */
    double meanItems() {
        return (double) mItems / mFleet.hostCount() / mRounds;
    }

    private void runRound() {
        boolean[] detectedFailures = new boolean[mFleet.hostCount()];
        if (mRounds >= FAILURE_DETECTION_ROUNDS) {
            mStoppedHosts.forEach(host -> detectedFailures[host] = true);
        }
        List<BitSet> before = new ArrayList<>();
        mKnownItems.forEach(known -> before.add((BitSet) known.clone()));
        for (int host = 0; host < mFleet.hostCount(); host++) {
            if (mStoppedHosts.contains(host)) {
                continue;
            }
            BitSet known = before.get(host);
            for (int receiver : mStrategy.receivers(mFleet, host, detectedFailures, mRandom)) {
                mMessages[host]++;
                mItems += mAggregated ? 1 : known.cardinality();
                if (mRandom.nextDouble() >= mLossProbability) {
                    mKnownItems.get(receiver).or(known);
                }
            }
        }
        mRounds++;
    }
}
