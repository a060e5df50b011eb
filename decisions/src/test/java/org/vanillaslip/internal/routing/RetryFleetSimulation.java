package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Hosts that share the retry budget of one pool, in virtual time. While the pool is slow, each host
 * sends all retries that its budget allows.
 */
final class RetryFleetSimulation {

    static final double RATIO = 0.2;
    static final double EXTRA = 52;
    static final Duration WINDOW = Duration.ofSeconds(10);

    private static final long STEP_MILLIS = 50;
    private static final long WINDOW_STEPS = WINDOW.toMillis() / STEP_MILLIS;
    private static final long MAX_ARRIVAL_MILLIS = 300;
    private static final long MAX_WAIT_MILLIS = 6000;
    private static final long MAX_NEWS_MILLIS = 3000;
    private static final long REMOVAL_MILLIS = 30_000;
    private static final long SHARE_UPDATE_MILLIS = 500;

    /** Creates the budget of a process; tests may replace it to see the check fail. */
    @FunctionalInterface
    interface BudgetFactory {
        RetryBudget create(RetryExtraShare share);
    }

    private final Random mRandom;
    private final BudgetFactory mBudgets;
    private final double mRequestsPerSecond;
    private final Map<String, SimulatedProcess> mProcesses = new TreeMap<>();
    private final Map<String, Long> mListed = new TreeMap<>();
    private final Map<String, Long> mSilentSince = new HashMap<>();
    private final TreeMap<Long, List<Runnable>> mEvents = new TreeMap<>();
    private final Map<Long, Integer> mRetries = new HashMap<>();
    private final Map<Long, Integer> mRequests = new HashMap<>();
    private long mNow;
    private boolean mSlow;

    RetryFleetSimulation(int hosts, double requestsPerSecond, BudgetFactory budgets, long seed) {
        mRandom = new Random(seed);
        mBudgets = budgets;
        mRequestsPerSecond = requestsPerSecond;
        for (int host = 0; host < hosts; host++) {
            start(name(host));
        }
    }

    static String name(int host) {
        return "host-" + host;
    }

    void at(long millis, Runnable event) {
        mEvents.computeIfAbsent(millis, time -> new ArrayList<>()).add(event);
    }

    void setSlow(boolean slow) {
        mSlow = slow;
    }

    /** Starts a process, which registers its host. */
    void start(String host) {
        mProcesses.put(host, new SimulatedProcess(host));
        mSilentSince.remove(host);
        mListed.putIfAbsent(host, mNow);
    }

    /** Ends a process at once; its host stays listed until it has been silent for long. */
    void kill(String host) {
        mProcesses.remove(host);
        mSilentSince.putIfAbsent(host, mNow);
    }

    /** Stops and restarts a process, which leaves the list in between. */
    void restart(String host, long stopMillis, long startMillis) {
        SimulatedProcess process = mProcesses.get(host);
        if (process == null) {
            return;
        }
        at(mNow + 1000, () -> process.mReady = false);
        at(
                mNow + stopMillis,
                () -> {
                    mProcesses.remove(host);
                    mListed.remove(host);
                });
        at(mNow + stopMillis + startMillis, () -> start(host));
    }

    /** Cuts a host off from the store and from all other hosts, but not from its callers. */
    void cutOff(String host, long millis) {
        SimulatedProcess process = mProcesses.get(host);
        if (process == null) {
            return;
        }
        process.mCutOffSince = mNow;
        mSilentSince.putIfAbsent(host, mNow);
        at(
                mNow + millis,
                () -> {
                    process.mCutOffSince = -1;
                    mSilentSince.remove(host);
                    mListed.putIfAbsent(host, mNow);
                });
    }

    void run(long untilMillis) {
        double requestsPerStep = mRequestsPerSecond * STEP_MILLIS / 1000;
        for (; mNow < untilMillis; mNow += STEP_MILLIS) {
            while (!mEvents.isEmpty() && mEvents.firstKey() <= mNow) {
                mEvents.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            mSilentSince.entrySet().stream()
                    .filter(silent -> mNow - silent.getValue() >= REMOVAL_MILLIS)
                    .forEach(silent -> mListed.remove(silent.getKey()));
            List<SimulatedProcess> ready =
                    mProcesses.values().stream().filter(process -> process.mReady).toList();
            int requests = (int) (requestsPerStep + mRandom.nextDouble());
            for (int request = 0; request < requests && !ready.isEmpty(); request++) {
                ready.get(mRandom.nextInt(ready.size())).mBudget.recordRequest(nanos());
                count(mRequests, mNow);
            }
            List.copyOf(mProcesses.values()).forEach(SimulatedProcess::step);
        }
    }

    /** Returns by how much the retries of the worst window exceed what the budget allows. */
    double worstExcess() {
        long steps = mNow / STEP_MILLIS;
        double worst = Double.NEGATIVE_INFINITY;
        for (long end = 3 * WINDOW_STEPS; end <= steps; end++) {
            long requests =
                    Math.max(
                            inWindow(mRequests, end),
                            Math.max(
                                    inWindow(mRequests, end - WINDOW_STEPS),
                                    inWindow(mRequests, end - WINDOW_STEPS / 2)));
            worst = Math.max(worst, inWindow(mRetries, end) - RATIO * requests - EXTRA);
        }
        return worst;
    }

    /** Returns the number of retries in the time. */
    long retriesBetween(long fromMillis, long toMillis) {
        return mRetries.entrySet().stream()
                .filter(step -> step.getKey() * STEP_MILLIS >= fromMillis)
                .filter(step -> step.getKey() * STEP_MILLIS < toMillis)
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static long inWindow(Map<Long, Integer> counts, long end) {
        long sum = 0;
        for (long step = Math.max(0, end - WINDOW_STEPS); step < end; step++) {
            sum += counts.getOrDefault(step, 0);
        }
        return sum;
    }

    private static void count(Map<Long, Integer> counts, long millis) {
        counts.merge(millis / STEP_MILLIS, 1, Integer::sum);
    }

    private long nanos() {
        return Duration.ofMillis(mNow).toNanos();
    }

    private final class SimulatedProcess {
        private final String mHost;
        private final RetryExtraShare mShare;
        private final RetryBudget mBudget;
        private final long mNewsDelay = (long) (mRandom.nextDouble() * MAX_NEWS_MILLIS);
        private final TreeMap<Long, Set<String>> mNews = new TreeMap<>();
        private Set<String> mKnown = Set.of();
        private Set<String> mLastNews = Set.of();
        private boolean mReady = true;
        private long mCutOffSince = -1;

        SimulatedProcess(String host) {
            mHost = host;
            mShare = new RetryExtraShare(host, EXTRA, WINDOW);
            mBudget = mBudgets.create(mShare);
        }

        private void step() {
            readList();
            if (mNow % SHARE_UPDATE_MILLIS == 0) {
                long silence = mCutOffSince < 0 ? 0 : mNow - mCutOffSince;
                mShare.update(mKnown, Duration.ofMillis(silence).toNanos(), nanos());
            }
            while (mSlow && mBudget.tryReserve(nanos())) {
                boolean waits = mRandom.nextInt(4) == 0;
                long wait = waits ? (long) (mRandom.nextDouble() * MAX_WAIT_MILLIS) : 0;
                at(mNow + wait, this::sendRetry);
                if (wait == 0) {
                    mEvents.remove(mNow).forEach(Runnable::run);
                }
            }
        }

        private void readList() {
            if (mCutOffSince >= 0) {
                return;
            }
            if (!mListed.keySet().equals(mLastNews)) {
                mLastNews = Set.copyOf(mListed.keySet());
                mNews.put(mNow + mNewsDelay, mLastNews);
            }
            while (!mNews.isEmpty() && mNews.firstKey() <= mNow) {
                mKnown = mNews.pollFirstEntry().getValue();
            }
        }

        private void sendRetry() {
            if (mProcesses.get(mHost) == this) {
                mBudget.recordRetry(nanos());
                count(mRetries, mNow + (long) (mRandom.nextDouble() * MAX_ARRIVAL_MILLIS));
            }
        }
    }
}
