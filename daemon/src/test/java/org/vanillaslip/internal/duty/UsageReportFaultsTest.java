package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.duty.UsageSimulation.TestHost;
import org.vanillaslip.internal.duty.UsageSimulation.Treatment;

/** Guards against two reports of one window after a restore of the store or random faults. */
class UsageReportFaultsTest {

    private final UsageSimulation mSimulation = new UsageSimulation(4);
    private final UsageReportChecks mChecks = new UsageReportChecks(mSimulation);

    /** Guards against windows that are recorded again because the store has lost their record. */
    @ParameterizedTest
    @ValueSource(ints = {500, 3000, 12_000, 40_000})
    void aRestoredStoreLeadsToNoOtherReports(int lostMillis) {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mRecords.copy();
        mSimulation.run(Duration.ofMillis(lostMillis));
        mSimulation.mRecords.restore();
        mSimulation.run(Duration.ofSeconds(60));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertTermsNeverFall();
        mChecks.assertNotMissingLongerThan(4);
    }

    /** Guards against a holder without memory of what the store has lost. */
    @ParameterizedTest
    @ValueSource(ints = {500, 3000, 12_000, 40_000})
    void anotherHolderAfterARestoreReportsNothingAgain(int lostMillis) {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mRecords.copy();
        mSimulation.run(Duration.ofMillis(lostMillis));
        mSimulation.holder().mDead = true;
        mSimulation.mRecords.restore();
        mSimulation.run(Duration.ofSeconds(60));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNotMissingLongerThan(5);
    }

    /** Guards against a store whose copy has no record yet. */
    @Test
    void aRestoredStoreWithoutRecordLeadsToNoOtherReports() {
        mSimulation.mRecords.copy();
        mSimulation.run(Duration.ofSeconds(33));
        mSimulation.mRecords.restore();
        mSimulation.run(Duration.ofSeconds(40));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNotMissingLongerThan(4);
    }

    /** Injects random faults, also several at once. */
    @ParameterizedTest
    @ValueSource(
            longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 92})
    void noTwoReportsOfAWindowDifferUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        mSimulation.run(Duration.ofSeconds(10));
        mSimulation.mRecords.copy();
        for (int round = 0; round < 40; round++) {
            List<TestHost> hosts = List.copyOf(mSimulation.mHosts.values());
            injectFault(hosts.get(random.nextInt(hosts.size())), random);
            mSimulation.run(Duration.ofMillis(20L * random.nextInt(300)));
        }
        mSimulation.mHosts.values().forEach(UsageReportFaultsTest::mend);
        mSimulation.run(Duration.ofSeconds(30));

        mChecks.assertOneReportOfEachWindow();
        assertThat(mSimulation.reports()).containsKey(mChecks.windowBefore(Duration.ofSeconds(12)));
    }

    private void injectFault(TestHost host, Random random) {
        switch (random.nextInt(10)) {
            case 0 -> host.mSuspended = !host.mSuspended;
            case 1 -> host.mStore.mUnavailable = !host.mStore.mUnavailable;
            case 2 -> host.mStore.mAnswersLost = !host.mStore.mAnswersLost;
            case 3 -> host.mClockStepMillis = random.nextInt(6000) - 3000;
            case 4 -> host.mUnheard = !host.mUnheard;
            case 5, 6 ->
                    host.mTreatment = Treatment.values()[random.nextInt(Treatment.values().length)];
            case 7 -> {
                if (random.nextInt(3) == 0) {
                    mSimulation.mRecords.restore();
                } else {
                    mSimulation.mRecords.copy();
                }
            }
            case 8 -> host.mDead = true;
            default -> host.start();
        }
    }

    private static void mend(TestHost host) {
        if (host.mDead) {
            host.start();
        }
        host.mSuspended = false;
        host.mStore.mUnavailable = false;
        host.mStore.mAnswersLost = false;
        host.mUnheard = false;
        host.mClockStepMillis = 0;
        host.mTreatment = Treatment.ACCEPTED;
    }
}
