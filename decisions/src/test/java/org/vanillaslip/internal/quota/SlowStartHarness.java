package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.vanillaslip.SlowStart;

/**
 * Simulates a starting server, borrowers that run requests on it, and changes of the host that owns
 * its slots, with lost messages and outdated load reports.
 */
final class SlowStartHarness {

    private static final long SECOND = 1_000_000_000L;
    private static final long VALIDITY = 6 * SECOND;
    private static final SlowStart SLOW_START = new SlowStart(2, 20, Duration.ofSeconds(120));

    private final SplittableRandom mRandom;
    private final List<Long> mRunningSlots = new ArrayList<>();
    private final Set<Long> mUnrenewedSlots = new HashSet<>();
    private final Deque<long[]> mReports = new ArrayDeque<>();
    private ConcurrencyLedger mLedger;
    private long mNow;
    private int mReportedRunning;
    private int mStarted;

    SlowStartHarness(long seed) {
        mRandom = new SplittableRandom(seed);
        mLedger = ledger(0);
    }

    /** Runs the given number of events and returns the number of requests that were started. */
    int run(int events) {
        for (int i = 0; i < events; i++) {
            mNow += mRandom.nextLong(SECOND / 10);
            report();
            step();
        }
        return mStarted;
    }

    private void step() {
        int kind = mRandom.nextInt(200);
        if (kind < 100) {
            start();
        } else if (kind < 150) {
            finish();
        } else if (kind < 198) {
            renew();
        } else if (kind == 198) {
            mLedger = ledger(mNow);
        } else if (!mRunningSlots.isEmpty()) {
            // The borrower can't reach the owner from now on, but its request keeps running.
            mUnrenewedSlots.add(mRunningSlots.get(mRandom.nextInt(mRunningSlots.size())));
        }
    }

    private void start() {
        for (long id : mLedger.acquire(1, mReportedRunning, mNow)) {
            if (mRandom.nextInt(10) > 0) {
                mRunningSlots.add(id);
                mStarted++;
                verify();
            }
        }
    }

    private void verify() {
        int limit = ConcurrencyLimit.at(SLOW_START, mNow);
        if (mRunningSlots.size() > limit) {
            throw new AssertionError(
                    "slow-start: %d requests are running at %d ms, limit %d"
                            .formatted(mRunningSlots.size(), mNow / 1_000_000, limit));
        }
    }

    private void finish() {
        if (!mRunningSlots.isEmpty()) {
            long id = mRunningSlots.remove(mRandom.nextInt(mRunningSlots.size()));
            if (mUnrenewedSlots.contains(id) && mRandom.nextInt(50) > 0) {
                mRunningSlots.add(id);
                return;
            }
            if (!mUnrenewedSlots.remove(id) && mRandom.nextInt(10) > 0) {
                mLedger.release(List.of(id));
            }
        }
    }

    private void renew() {
        List<Long> renewed = new ArrayList<>(mRunningSlots);
        renewed.removeAll(mUnrenewedSlots);
        mLedger.renew(renewed, mNow);
    }

    /** Reports a number of running requests that is outdated by up to the maximum report age. */
    private void report() {
        mReports.add(new long[] {mNow, mRunningSlots.size()});
        long observedAt = mNow - mRandom.nextLong(ConcurrencyLedger.MAX_REPORT_AGE_NANOS - SECOND);
        while (mReports.size() > 1 && mReports.peekFirst()[0] < observedAt) {
            mReportedRunning = (int) mReports.removeFirst()[1];
        }
    }

    private ConcurrencyLedger ledger(long ownedSince) {
        return new ConcurrencyLedger(SLOW_START, 0, ownedSince, VALIDITY, mRandom::nextLong);
    }
}
