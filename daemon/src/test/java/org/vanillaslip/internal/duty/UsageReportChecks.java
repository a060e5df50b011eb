package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.assertj.core.data.Percentage;
import org.vanillaslip.internal.duty.UsageSimulation.Call;

/** What holds for the reports that the platform's API has received. */
final class UsageReportChecks {

    private static final double TOLERANCE_PERCENT = 5;

    private final UsageSimulation mSimulation;

    UsageReportChecks(UsageSimulation simulation) {
        mSimulation = simulation;
    }

    /** Returns the windows from the second one with calls to the one that ended that long ago. */
    List<Long> windowsUntil(Duration ago) {
        long first = ((TreeMap<Long, ?>) mSimulation.mTruth).firstKey() + 1;
        return LongStream.rangeClosed(first, windowBefore(ago)).boxed().toList();
    }

    long windowBefore(Duration ago) {
        return mSimulation.mWindows.lastEnded(mSimulation.millis() - ago.toMillis());
    }

    void assertOneReportOfEachWindow() {
        assertThat(mSimulation.reports()).isNotEmpty();
        assertThat(mSimulation.mUnrecorded).isEmpty();
        mSimulation
                .reports()
                .forEach((window, reports) -> assertThat(reports).as("%d", window).hasSize(1));
    }

    void assertTermsNeverFall() {
        assertThat(mSimulation.mCalls).extracting(Call::term).isSorted();
    }

    void assertNoneMissing() {
        assertThat(mSimulation.reports().keySet())
                .containsAll(windowsUntil(Duration.ofSeconds(12)));
    }

    void assertNotMissingLongerThan(int windows) {
        long missing =
                windowsUntil(Duration.ofSeconds(12)).stream()
                        .filter(window -> !mSimulation.reports().containsKey(window))
                        .count();
        assertThat(missing).isLessThanOrEqualTo(windows);
        assertThat(mSimulation.reports()).containsKey(windowBefore(Duration.ofSeconds(12)));
    }

    void assertInTimeAndRight(List<Long> windows) {
        assertThat(windows).isNotEmpty();
        for (long window : windows) {
            assertThat(mSimulation.delayMillis(window))
                    .as("delay of %d", window)
                    .isBetween(0L, UsageSimulation.DUE.toMillis());
            assertRight(window);
        }
    }

    /** Checks the counts of the windows, whenever they were reported. */
    void assertRight(List<Long> windows) {
        assertThat(windows).isNotEmpty();
        windows.forEach(this::assertRight);
    }

    private void assertRight(long window) {
        assertThat(mSimulation.reports()).containsKey(window);
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
