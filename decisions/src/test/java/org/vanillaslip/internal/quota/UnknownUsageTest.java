package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against usage that counts as nothing because no report tells of it. */
class UnknownUsageTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final double RATE = 20_000;
    private static final double OVERDRAFT = 6_000;
    private static final long DEMAND = 240_000;
    private static final long CALL = 1_000;

    private final ReplicatedBucket mBucket = new ReplicatedBucket(OVERDRAFT, 0);
    private long mNow;

    @BeforeEach
    void setRate() {
        mBucket.resize(RATE, RATE, mNow);
    }

    @Test
    void aHostThatDoesNotKnowTheOtherHostsAdmitsNothing() {
        mNow = 2 * SECOND;

        assertThat(mBucket.tryAcquire(CALL, mNow)).isEmpty();
    }

    @Test
    void aHostThatHasJustStartedTakesOnlyItsPartOfTheRate() {
        mBucket.updateSources(Map.of("other-hosts", 9), mNow);

        assertThat(admittedIn(2 * SECOND)).isLessThanOrEqualTo((long) (RATE / 10 * 2));
    }

    @Test
    void aHostThatHasJustStartedAdoptsTheLevelOfOneThatKnowsIt() {
        mBucket.updateSources(Map.of("other-hosts", 9), mNow);
        mNow += SECOND / 10;
        mBucket.apply("other-hosts", "r/1", summary(0, 12_000, false), mNow);
        mBucket.apply("other-hosts", "r/2", summary(0, 12_000, true), mNow);

        assertThat(mBucket.isLevelKnown()).isTrue();
    }

    @Test
    void hostsThatStartTogetherDoNotAdoptEachOthersLevels() {
        mBucket.updateSources(List.of("h1", "h2"), mNow);
        mNow += SECOND / 10;
        mBucket.apply("h1", "i1", new BucketUsage(0, 0, 15_000, false), mNow);

        assertThat(mBucket.isLevelKnown()).isFalse();
        mBucket.apply("h2", "i2", new BucketUsage(0, 0, 15_000, false), mNow);
        assertThat(mBucket.isLevelKnown()).isTrue();
        assertThat(mBucket.level(mNow)).isEqualTo(-OVERDRAFT);
    }

    /** Guards against usage of a killed process that its next process does not count. */
    @Test
    void theUsageOfAProcessThatEndedIsNotGivenBackByItsNextProcess() {
        knowLevel("h1");
        double before = mBucket.level(mNow);
        mNow += SECOND / 2;
        mBucket.apply("h1", "i2", new BucketUsage(0, DEMAND, 0, false), mNow);

        assertThat(mBucket.level(mNow) - before).isLessThan(0.5 * RATE / 2);
    }

    /** Guards against a relay that starts to count from zero after both relays ended. */
    @Test
    void theUsageBeforeTheFirstReportOfANewRelayIsNotGivenBack() {
        mBucket.updateSources(Map.of("other-hosts", 9), mNow);
        mBucket.apply("other-hosts", "r/1", summary(0, 0, true), mNow);
        double before = mBucket.level(mNow);
        mNow += 9 * SECOND / 10;
        mBucket.apply("other-hosts", "r/2", summary(0, 0, true), mNow);

        assertThat(mBucket.level(mNow) - before).isLessThan(0.5 * RATE);
    }

    /** Guards against a host that believes it is alone while its sources change. */
    @Test
    void othersKeepTheirShareWhileTheRelayRoleChanges() {
        knowLevel("h1");
        mBucket.tryAcquire(CALL, mNow);
        mBucket.removeAllSources(mNow);
        mBucket.updateSources(Map.of("domain:d1", 1), mNow);
        double before = mBucket.level(mNow);
        mNow += SECOND / 2;

        assertThat(mBucket.level(mNow) - before).isLessThan(0.5 * RATE / 2);
    }

    /** Guards against hosts behind a cut that each take what the other side uses. */
    @Test
    void aHostWithoutReportsTakesItsShareOfTheLevelOnlyOnce() {
        knowLevel("h1");
        mBucket.apply("h1", "i1", new BucketUsage(0, DEMAND, 0, true), mNow);
        admittedIn(SECOND);
        mNow += 2 * SECOND;
        long admitted = admittedIn(4 * SECOND);

        assertThat(admitted).isLessThanOrEqualTo((long) (RATE * 4 * 0.6 + RATE + OVERDRAFT));
    }

    /** Guards against summaries of a workspace that nobody uses. */
    @Test
    void aReportWithoutUsageIsNotPassedOn() {
        knowLevel("h1");
        mBucket.recordSummarySent(mNow);
        mNow += SECOND / 5;
        mBucket.apply("h1", "i1", new BucketUsage(0, DEMAND, 0, true), mNow);
        assertThat(mBucket.isSummaryDue(mNow)).isFalse();
        mBucket.apply("h1", "i1", new BucketUsage(CALL, DEMAND, 0, true), mNow);

        assertThat(mBucket.isSummaryDue(mNow)).isTrue();
    }

    private void knowLevel(String host) {
        mBucket.updateSources(List.of(host), mNow);
        mBucket.apply(host, "i1", new BucketUsage(0, DEMAND, 0, true), mNow);
    }

    private static BucketSummary summary(long admitted, long level, boolean levelKnown) {
        return new BucketSummary(admitted, DEMAND, level, 9, 0, levelKnown);
    }

    /** Lets the host ask for 12 times the rate, and report every 200 ms. */
    private long admittedIn(long time) {
        long admitted = 0;
        long end = mNow + time;
        for (int step = 0; mNow < end; step++) {
            mNow += SECOND / 240;
            admitted += mBucket.tryAcquire(CALL, mNow).isPresent() ? CALL : 0;
            if (step % 48 == 0) {
                mBucket.report(mNow);
            }
        }
        return admitted;
    }
}
