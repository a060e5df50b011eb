package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.duty.UsageSimulation.Call;
import org.vanillaslip.internal.duty.UsageSimulation.TestHost;
import org.vanillaslip.internal.duty.UsageSimulation.Treatment;
import org.vanillaslip.internal.usage.SettledWindow;

/** Guards against usage reports that are missing, late or wrong, or differ for one window. */
class UsageReportsTest {

    private static final double TOLERANCE_PERCENT = 5;

    private final UsageSimulation mSimulation = new UsageSimulation(4);

    @Test
    void eachWindowIsReportedOnceInTimeWithAllCalls() {
        mSimulation.run(Duration.ofSeconds(60));

        assertOneReportOfEachWindow();
        assertInTimeAndRight(windowsUntil(Duration.ofSeconds(12)));
        assertThat(mSimulation.mCalls).hasSameSizeAs(mSimulation.reports().keySet());
    }

    /** Guards against windows that are left out because no call arrived. */
    @Test
    void aWindowWithoutCallsIsReportedAsEmpty() {
        mSimulation.runIdle(Duration.ofSeconds(40));

        assertThat(mSimulation.reports().values())
                .hasSizeGreaterThan(5)
                .allMatch(reports -> reports.equals(List.of(Map.of())));
    }

    @Test
    void theNextHolderSendsWhatAHolderRecordedThatWasKilledBeforeItsSend() {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost first = mSimulation.holder();
        first.mTreatment = Treatment.UNREACHED;
        mSimulation.runToEndOfWindow();
        long window = mSimulation.mWindows.lastEnded(mSimulation.millis());
        mSimulation.run(Duration.ofSeconds(2));
        SettledWindow recorded = mSimulation.recorded(window).orElseThrow();
        first.mDead = true;
        mSimulation.run(Duration.ofSeconds(30));

        assertThat(recorded.holder()).isEqualTo(first.mName);
        assertThat(mSimulation.reports().get(window)).containsExactly(recorded.callsByWorkspace());
        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    /** Guards against a host that sends after a pause during which another one took over. */
    @ParameterizedTest
    @ValueSource(ints = {1000, 4000, 8000, 15_000})
    void aHolderThatWasPausedBeforeTheSendSendsNothingElse(int millis) {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost first = mSimulation.holder();
        first.mConnectTime = Duration.ofMillis(400);
        mSimulation.runToEndOfWindow();
        runUntilRecorded(mSimulation.mWindows.lastEnded(mSimulation.millis()));
        mSimulation.run(Duration.ofMillis(200));
        first.mSuspended = true;
        mSimulation.run(Duration.ofMillis(millis));
        first.mSuspended = false;
        mSimulation.run(Duration.ofSeconds(20));

        assertOneReportOfEachWindow();
        assertTermsNeverFall();
        assertNoneMissing();
    }

    @Test
    void aHolderCutOffFromTheStoreIsReplacedWithoutAMissingWindow() {
        mSimulation.run(Duration.ofSeconds(31));
        mSimulation.holder().mStoreUnavailable = true;
        mSimulation.run(Duration.ofSeconds(40));

        assertOneReportOfEachWindow();
        assertTermsNeverFall();
        assertInTimeAndRight(windowsUntil(Duration.ofSeconds(12)));
    }

    @Test
    void reportsAreSentInOrderWhenTheHolderReachesTheApiAgain() {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost holder = mSimulation.holder();
        holder.mTreatment = Treatment.UNREACHED;
        mSimulation.run(Duration.ofSeconds(150));
        holder.mTreatment = Treatment.ACCEPTED;
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.mCalls).extracting(Call::window).isSorted();
        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    @Test
    void aCallWithoutAnswerIsRepeatedExactlyByTheNextHolder() {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost first = mSimulation.holder();
        mSimulation.runToEndOfWindow();
        first.mTreatment = Treatment.UNANSWERED;
        long window = mSimulation.mWindows.lastEnded(mSimulation.millis());
        mSimulation.run(Duration.ofSeconds(2));
        first.mDead = true;
        mSimulation.run(Duration.ofSeconds(25));

        assertThat(mSimulation.mCalls)
                .filteredOn(call -> call.window() == window)
                .extracting(Call::host)
                .contains(first.mName)
                .anyMatch(host -> !host.equals(first.mName));
        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    /** Guards against counts in wrong windows while the clock of one host is wrong. */
    @ParameterizedTest
    @ValueSource(longs = {-2000, 2000})
    void aClockStepOfOneHostMovesNoCounts(long step) {
        for (TestHost host : List.copyOf(mSimulation.mHosts.values())) {
            mSimulation.run(Duration.ofSeconds(17));
            host.mClockStepMillis = step;
            mSimulation.run(Duration.ofSeconds(17));
            host.mClockStepMillis = 0;
        }
        mSimulation.run(Duration.ofSeconds(10));

        assertOneReportOfEachWindow();
        assertInTimeAndRight(windowsUntil(Duration.ofSeconds(12)));
    }

    @Test
    void aKilledHostIsNamedAsMissingAndTheOthersAreReported() {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost killed = otherThanHolder();
        long window = mSimulation.mWindows.at(mSimulation.millis());
        mSimulation.run(Duration.ofSeconds(1));
        killed.mDead = true;
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.recorded(window).orElseThrow().missing())
                .containsExactly(killed.mName);
        assertThat(mSimulation.recorded(window).orElseThrow().counted()).contains(killed.mName);
        assertOneReportOfEachWindow();
        assertInTimeAndRight(windowsUntil(Duration.ofSeconds(12)));
    }

    @Test
    void throttledReportsAreRepeatedSlowlyUntilTheyAreAccepted() {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.THROTTLED);
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.ACCEPTED);
        mSimulation.run(Duration.ofSeconds(15));

        assertThat(mSimulation.mRefused).hasSizeBetween(5, 25);
        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    /** Guards against a rejected report that keeps all later ones from being sent. */
    @Test
    void aRejectedReportIsGivenUp() {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.REJECTED);
        for (int step = 0; step < 200 && mSimulation.mRefused.size() < 3; step++) {
            mSimulation.run(Duration.ofMillis(100));
        }
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.ACCEPTED);
        long rejected = mSimulation.mRefused.get(0).window();
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.reports()).doesNotContainKey(rejected);
        assertThat(mSimulation.reports()).containsKeys(rejected + 1, rejected + 2);
    }

    /** Guards against windows that are recorded again because the store has lost their record. */
    @ParameterizedTest
    @ValueSource(ints = {500, 3000, 12_000, 40_000})
    void aRestoredStoreLeadsToNoOtherReports(int lostMillis) {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.copyStore();
        mSimulation.run(Duration.ofMillis(lostMillis));
        mSimulation.restoreStore();
        mSimulation.run(Duration.ofSeconds(60));

        assertOneReportOfEachWindow();
        assertTermsNeverFall();
        assertNotMissingLongerThan(4);
    }

    /** Guards against a holder without memory of what the store has lost. */
    @ParameterizedTest
    @ValueSource(ints = {500, 3000, 12_000, 40_000})
    void anotherHolderAfterARestoreReportsNothingAgain(int lostMillis) {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.copyStore();
        mSimulation.run(Duration.ofMillis(lostMillis));
        mSimulation.holder().mDead = true;
        mSimulation.restoreStore();
        mSimulation.run(Duration.ofSeconds(60));

        assertOneReportOfEachWindow();
        assertNotMissingLongerThan(5);
    }

    /** Guards against a store whose copy has no record yet. */
    @Test
    void aRestoredStoreWithoutRecordLeadsToNoOtherReports() {
        mSimulation.copyStore();
        mSimulation.run(Duration.ofSeconds(33));
        mSimulation.restoreStore();
        mSimulation.run(Duration.ofSeconds(40));

        assertOneReportOfEachWindow();
        assertNotMissingLongerThan(4);
    }

    /**
     * A host that is suspended together with its time of day believes afterwards that it still
     * holds the lease.
     */
    @ParameterizedTest
    @ValueSource(ints = {4000, 7000, 9000, 11_000, 13_000})
    void twoHostsThatBelieveTheyHoldTheLeaseSendTheSame(int millis) {
        mSimulation.run(Duration.ofSeconds(30));
        TestHost first = mSimulation.holder();
        first.mTreatment = Treatment.UNREACHED;
        mSimulation.runToEndOfWindow();
        mSimulation.run(Duration.ofMillis(250));
        first.mSuspended = true;
        mSimulation.run(Duration.ofMillis(millis));
        first.mSuspended = false;
        first.mClockStepMillis = -millis;
        first.mTreatment = Treatment.ACCEPTED;
        mSimulation.run(Duration.ofSeconds(30));

        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    /** Guards against a report that the next holder cannot repeat, as it is not recorded. */
    @Test
    void nothingIsSentWhileTheStoreCannotRecordIt() {
        for (int window = 0; window < 8; window++) {
            mSimulation.runToEndOfWindow();
            TestHost holder = mSimulation.holder();
            holder.mStoreUnavailable = true;
            mSimulation.run(Duration.ofMillis(1700));
            holder.mStoreUnavailable = false;
        }
        mSimulation.run(Duration.ofSeconds(20));

        assertOneReportOfEachWindow();
        assertNoneMissing();
    }

    /** Guards against sending what a write whose answer was lost has not recorded. */
    @Test
    void lostAnswersOfTheStoreLeadToNoOtherReports() {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mStoreAnswersLost = true);
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mStoreAnswersLost = false);
        mSimulation.run(Duration.ofSeconds(20));

        assertOneReportOfEachWindow();
        assertInTimeAndRight(windowsUntil(Duration.ofSeconds(12)));
    }

    /** Guards against zeros for windows that only processes that have ended counted. */
    @Test
    void windowsThatNoProcessKnowsAreLeftOut() {
        mSimulation.run(Duration.ofSeconds(32));
        long window = mSimulation.mWindows.at(mSimulation.millis());
        mSimulation.mHosts.values().forEach(host -> host.mDead = true);
        mSimulation.run(Duration.ofSeconds(12));
        mSimulation.mHosts.values().forEach(TestHost::start);
        long restarted = mSimulation.mWindows.at(mSimulation.millis());
        mSimulation.run(Duration.ofSeconds(40));

        assertThat(mSimulation.reports().keySet())
                .doesNotContainAnyElementsOf(
                        LongStream.rangeClosed(window, restarted).boxed().toList())
                .contains(restarted + 1, restarted + 2);
        assertOneReportOfEachWindow();
    }

    /** Injects random faults, also several at once. */
    @ParameterizedTest
    @ValueSource(
            longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 92})
    void noTwoReportsOfAWindowDifferUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        mSimulation.run(Duration.ofSeconds(10));
        mSimulation.copyStore();
        for (int round = 0; round < 40; round++) {
            List<TestHost> hosts = List.copyOf(mSimulation.mHosts.values());
            injectFault(hosts.get(random.nextInt(hosts.size())), random);
            mSimulation.run(Duration.ofMillis(20L * random.nextInt(300)));
        }
        mSimulation.mHosts.values().forEach(UsageReportsTest::mend);
        mSimulation.run(Duration.ofSeconds(30));

        assertOneReportOfEachWindow();
        assertThat(mSimulation.reports()).containsKey(windowBefore(Duration.ofSeconds(12)));
    }

    private void injectFault(TestHost host, Random random) {
        switch (random.nextInt(10)) {
            case 0 -> host.mSuspended = !host.mSuspended;
            case 1 -> host.mStoreUnavailable = !host.mStoreUnavailable;
            case 2 -> host.mStoreAnswersLost = !host.mStoreAnswersLost;
            case 3 -> host.mClockStepMillis = random.nextInt(6000) - 3000;
            case 4 -> host.mUnheard = !host.mUnheard;
            case 5, 6 ->
                    host.mTreatment = Treatment.values()[random.nextInt(Treatment.values().length)];
            case 7 -> {
                if (random.nextInt(3) == 0) {
                    mSimulation.restoreStore();
                } else {
                    mSimulation.copyStore();
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
        host.mStoreUnavailable = false;
        host.mStoreAnswersLost = false;
        host.mUnheard = false;
        host.mClockStepMillis = 0;
        host.mTreatment = Treatment.ACCEPTED;
    }

    private void runUntilRecorded(long window) {
        for (int step = 0; step < 500 && mSimulation.recorded(window).isEmpty(); step++) {
            mSimulation.run(UsageSimulation.STEP);
        }
    }

    private TestHost otherThanHolder() {
        TestHost holder = mSimulation.holder();
        return mSimulation.mHosts.values().stream()
                .filter(host -> host != holder)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the windows from the second one with calls to the one that ended that long ago. */
    private List<Long> windowsUntil(Duration ago) {
        long first = ((TreeMap<Long, ?>) mSimulation.mTruth).firstKey() + 1;
        return LongStream.rangeClosed(first, windowBefore(ago)).boxed().toList();
    }

    private long windowBefore(Duration ago) {
        return mSimulation.mWindows.lastEnded(mSimulation.millis() - ago.toMillis());
    }

    private void assertOneReportOfEachWindow() {
        assertThat(mSimulation.reports()).isNotEmpty();
        assertThat(mSimulation.mUnrecorded).isEmpty();
        mSimulation
                .reports()
                .forEach((window, reports) -> assertThat(reports).as("%d", window).hasSize(1));
    }

    private void assertTermsNeverFall() {
        assertThat(mSimulation.mCalls).extracting(Call::term).isSorted();
    }

    private void assertNoneMissing() {
        assertThat(mSimulation.reports().keySet())
                .containsAll(windowsUntil(Duration.ofSeconds(12)));
    }

    private void assertNotMissingLongerThan(int windows) {
        long missing =
                windowsUntil(Duration.ofSeconds(12)).stream()
                        .filter(window -> !mSimulation.reports().containsKey(window))
                        .count();
        assertThat(missing).isLessThanOrEqualTo(windows);
        assertThat(mSimulation.reports()).containsKey(windowBefore(Duration.ofSeconds(12)));
    }

    private void assertInTimeAndRight(List<Long> windows) {
        assertThat(windows).isNotEmpty();
        for (long window : windows) {
            assertThat(mSimulation.delayMillis(window))
                    .as("delay of %d", window)
                    .isBetween(0L, UsageSimulation.DUE.toMillis());
            mSimulation
                    .mTruth
                    .get(window)
                    .forEach(
                            (workspace, calls) ->
                                    assertThat(
                                                    mSimulation.reports().get(window).stream()
                                                            .findFirst()
                                                            .orElseThrow()
                                                            .getOrDefault(workspace, 0L))
                                            .as("%s in %d", workspace, window)
                                            .isCloseTo(
                                                    calls,
                                                    Percentage.withPercentage(TOLERANCE_PERCENT)));
        }
    }
}
