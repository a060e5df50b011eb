package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.duty.UsageSimulation.Call;
import org.vanillaslip.internal.duty.UsageSimulation.TestHost;
import org.vanillaslip.internal.duty.UsageSimulation.Treatment;
import org.vanillaslip.internal.usage.SettledWindow;

/** Guards against usage reports that are missing, late or wrong, or differ for one window. */
class UsageReportsTest {

    private final UsageSimulation mSimulation = new UsageSimulation(4);
    private final UsageReportChecks mChecks = new UsageReportChecks(mSimulation);

    @Test
    void eachWindowIsReportedOnceInTimeWithAllCalls() {
        mSimulation.run(Duration.ofSeconds(60));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertInTimeAndRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
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
        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
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

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertTermsNeverFall();
        mChecks.assertNoneMissing();
    }

    @Test
    void aHolderCutOffFromTheStoreIsReplacedWithoutAMissingWindow() {
        mSimulation.run(Duration.ofSeconds(31));
        mSimulation.holder().mStore.mUnavailable = true;
        mSimulation.run(Duration.ofSeconds(40));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertTermsNeverFall();
        mChecks.assertInTimeAndRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
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
        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
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
        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
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

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertInTimeAndRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
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
        mChecks.assertOneReportOfEachWindow();
        mChecks.assertInTimeAndRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
    }

    @Test
    void throttledReportsAreRepeatedSlowlyUntilTheyAreAccepted() {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.THROTTLED);
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mTreatment = Treatment.ACCEPTED);
        mSimulation.run(Duration.ofSeconds(15));

        assertThat(mSimulation.mRefused).hasSizeBetween(5, 25);
        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
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

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
    }

    /** Guards against a report that the next holder cannot repeat, as it is not recorded. */
    @Test
    void nothingIsSentWhileTheStoreCannotRecordIt() {
        for (int window = 0; window < 8; window++) {
            mSimulation.runToEndOfWindow();
            TestHost holder = mSimulation.holder();
            holder.mStore.mUnavailable = true;
            mSimulation.run(Duration.ofMillis(1700));
            holder.mStore.mUnavailable = false;
        }
        mSimulation.run(Duration.ofSeconds(20));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertNoneMissing();
    }

    /** Guards against sending what a write whose answer was lost has not recorded. */
    @Test
    void lostAnswersOfTheStoreLeadToNoOtherReports() {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mStore.mAnswersLost = true);
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mStore.mAnswersLost = false);
        mSimulation.run(Duration.ofSeconds(20));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertInTimeAndRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
    }

    /** Guards against partial counts, since hosts report only their oldest open windows at once. */
    @ParameterizedTest
    @ValueSource(ints = {60, 90, 200})
    void allWindowsOfALongOutageOfTheStoreAreReportedInFull(int seconds) {
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.mHosts.values().forEach(host -> host.mStore.mUnavailable = true);
        mSimulation.run(Duration.ofSeconds(seconds));
        mSimulation.mHosts.values().forEach(host -> host.mStore.mUnavailable = false);
        mSimulation.run(Duration.ofSeconds(90));

        mChecks.assertOneReportOfEachWindow();
        mChecks.assertRight(mChecks.windowsUntil(Duration.ofSeconds(12)));
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
        mChecks.assertOneReportOfEachWindow();
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
}
