package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards the rate limit of a workspace over all hosts, even if they have outdated or no reports of
 * each other.
 */
class ReplicatedBucketTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long REPORT_INTERVAL = SECOND / 5;

    /** Delay after which a host sends an urgent report, as in WorkspaceLimits. */
    private static final long URGENT_DELAY = SECOND / 20;

    private static final long STEP = SECOND / 100;
    private static final int HOSTS = 6;
    private static final double RATE = 40_000;
    private static final double OVERDRAFT = 6_800;
    private static final long TOKENS_PER_CALL = 1_100;
    private static final int WINDOW_SECONDS = 8;

    /**
     * Maximum tokens per window that the platform accepts: rate and burst, a tenth more, and a
     * fixed number of tokens.
     */
    private static final long BOUND = (long) ((RATE * WINDOW_SECONDS + RATE) * 1.1 + 17_000);

    private final List<ReplicatedBucket> mHosts = new ArrayList<>();
    private final Map<ReplicatedBucket, Long> mUrgentAt = new HashMap<>();
    private final List<long[]> mAdmitted = new ArrayList<>();
    private long mNow = SECOND;
    private int mHostCount = HOSTS;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void demandOfEightTimesTheRateStaysWithinTheBoundInEveryWindow(long seed) {
        start();
        run(30, 8 * RATE, seed, (from, to) -> true);

        assertThat(largestWindow()).isLessThanOrEqualTo(BOUND);
        assertThat(total()).isGreaterThan((long) (RATE * 25));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartitionBetweenHalvesStaysWithinTheBound(long seed) {
        start();
        run(5, 8 * RATE, seed, (from, to) -> true);
        run(8, 8 * RATE, seed, (from, to) -> from / 3 == to / 3);
        run(8, 8 * RATE, seed, (from, to) -> true);

        assertThat(largestWindow()).isLessThanOrEqualTo(BOUND);
    }

    @Test
    void hostsThatStartTogetherStayWithinTheBound() {
        start();
        run(10, 8 * RATE, 1, (from, to) -> true);
        start();
        run(10, 8 * RATE, 2, (from, to) -> true);

        assertThat(largestWindow()).isLessThanOrEqualTo(BOUND);
    }

    /**
     * Guards against hosts that each spend a whole burst before they receive the others' reports.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 20, 60})
    void aBurstAfterAPauseStaysWithinTheBoundOnAnyNumberOfHosts(int hosts) {
        mHostCount = hosts;
        start();
        run(10, 0, 1, (from, to) -> true);
        run(3, 100 * RATE, 1, (from, to) -> true);

        assertThat(largestWindow()).isLessThanOrEqualTo(BOUND);
    }

    /** Guards against messages between all hosts for unused workspaces. */
    @Test
    void aHostWithoutCallsReportsRarely() {
        start();
        run(10, 0, 1, (from, to) -> true);
        ReplicatedBucket idle = mHosts.get(0);
        idle.report(mNow);

        assertThat(idle.isReportDue(mNow + 4 * SECOND)).isFalse();
        assertThat(idle.isReportDue(mNow + 5 * SECOND)).isTrue();
        idle.tryAcquire(TOKENS_PER_CALL, mNow);
        assertThat(idle.isReportDue(mNow)).isTrue();
    }

    /**
     * Guards against refusals within the workspace's rate when its calls arrive at only a few
     * hosts.
     */
    @Test
    void halfOfTheRateOnOneHostIsAdmitted() {
        start();
        run(3, 0, 1, (from, to) -> true);
        int refused = 0;
        for (int step = 0; step < 500; step++) {
            advanceAndReport(step, (from, to) -> true);
            if (step % 6 == 0 && mHosts.get(0).tryAcquire(TOKENS_PER_CALL, mNow).isEmpty()) {
                refused++;
            }
        }

        assertThat(refused).isZero();
    }

    @Test
    void tokensOfACallThatDidNotRunAreRefunded() {
        ReplicatedBucket bucket = bucket();
        bucket.updateSources(List.of(), mNow);
        mNow += SECOND;
        double before = bucket.level(mNow);
        bucket.refund(bucket.tryAcquire(TOKENS_PER_CALL, mNow).orElseThrow(), mNow);

        assertThat(bucket.level(mNow)).isEqualTo(before);
    }

    /** Guards against callers that all retry at the same moment. */
    @Test
    void refusedCallsGetStaggeredRetryDelays() {
        ReplicatedBucket bucket = bucket();
        bucket.updateSources(List.of(), mNow);
        while (bucket.tryAcquire(TOKENS_PER_CALL, mNow).isPresent()) {
            mNow++;
        }
        Duration first = bucket.recordRefusal(TOKENS_PER_CALL, mNow);
        Duration second = bucket.recordRefusal(TOKENS_PER_CALL, mNow);
        Duration third = bucket.recordRefusal(TOKENS_PER_CALL, mNow);

        assertThat(second).isGreaterThan(first);
        assertThat(third.minus(second).toMillis()).isEqualTo(second.minus(first).toMillis());
    }

    @Test
    void aLoweredRateTakesEffectAtOnce() {
        ReplicatedBucket bucket = bucket();
        mNow += SECOND;
        bucket.resize(RATE / 10, RATE / 10, mNow);

        assertThat(bucket.level(mNow)).isLessThanOrEqualTo(RATE / 10);
    }

    /** Guards against a total that decreases, which receivers would take for refunded tokens. */
    @Test
    void theUsageOfARemovedHostStaysInTheSummary() {
        ReplicatedBucket relay = bucket();
        relay.apply("h1", "i1", new BucketUsage(0, 0, 0, true), mNow);
        relay.apply("h1", "i1", new BucketUsage(50_000, 0, 0, true), mNow + 1);
        long before = relay.summarize(source -> true, mNow + 1).admitted();
        relay.updateSources(List.of(), mNow + 31 * SECOND);
        relay.removeAllSources(mNow + 31 * SECOND);

        assertThat(before).isEqualTo(50_000);
        assertThat(relay.summarize(source -> true, mNow + 31 * SECOND).admitted())
                .isEqualTo(before);
        assertThat(relay.summarize(source -> !source.equals("h1"), mNow + 31 * SECOND).admitted())
                .isZero();
    }

    private void start() {
        mHosts.clear();
        for (int host = 0; host < mHostCount; host++) {
            mHosts.add(bucket());
        }
    }

    private ReplicatedBucket bucket() {
        ReplicatedBucket bucket = new ReplicatedBucket(OVERDRAFT, mNow);
        bucket.resize(RATE, RATE, mNow);
        return bucket;
    }

    private void run(
            int seconds, double tokensPerSecond, long seed, BiPredicate<Integer, Integer> linked) {
        Random random = new Random(seed);
        double callsPerStep = tokensPerSecond / TOKENS_PER_CALL * STEP / SECOND;
        for (int step = 0; step < seconds * 100; step++) {
            advanceAndReport(step, linked);
            double calls = callsPerStep;
            while (random.nextDouble() < calls) {
                calls--;
                ReplicatedBucket host = mHosts.get(random.nextInt(mHostCount));
                if (host.tryAcquire(TOKENS_PER_CALL, mNow).isPresent()) {
                    mAdmitted.add(new long[] {mNow, TOKENS_PER_CALL});
                    if (host.isReportUrgent()) {
                        mUrgentAt.putIfAbsent(host, mNow + URGENT_DELAY);
                    }
                }
            }
        }
    }

    private void advanceAndReport(int step, BiPredicate<Integer, Integer> linked) {
        mNow += STEP;
        boolean regular = step % (REPORT_INTERVAL / STEP) == 0;
        List<String> names = new ArrayList<>();
        for (int host = 0; host < mHostCount; host++) {
            names.add("h" + host);
        }
        for (int from = 0; from < mHostCount; from++) {
            ReplicatedBucket sender = mHosts.get(from);
            long urgentAt = mUrgentAt.getOrDefault(sender, Long.MAX_VALUE);
            boolean due = regular && sender.isReportDue(mNow);
            if (!due && mNow < urgentAt) {
                continue;
            }
            mUrgentAt.remove(sender);
            List<String> others = new ArrayList<>(names);
            others.remove("h" + from);
            sender.updateSources(others, mNow);
            BucketUsage usage = sender.report(mNow);
            for (int to = 0; to < mHostCount; to++) {
                if (to != from && linked.test(from, to)) {
                    mHosts.get(to).apply("h" + from, "i" + sender.hashCode(), usage, mNow);
                }
            }
        }
    }

    private long total() {
        return mAdmitted.stream().mapToLong(call -> call[1]).sum();
    }

    private long largestWindow() {
        long largest = 0;
        long sum = 0;
        int first = 0;
        for (long[] call : mAdmitted) {
            sum += call[1];
            while (call[0] - mAdmitted.get(first)[0] >= WINDOW_SECONDS * SECOND) {
                sum -= mAdmitted.get(first++)[1];
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }
}
