package org.vanillaslip.internal.speed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServerSpeedsTest {

    private static final Offset<Double> PRECISION = within(0.03);
    private static final double GAP_MILLIS = 40;

    private final ServerSpeeds mSpeeds = new ServerSpeeds();
    private final List<SpeedChange> mChanges = new ArrayList<>();
    private double mNow;

    @Test
    void speedsAreRelativeToTheMedianServer() {
        run(
                30,
                () -> {
                    report("a", "m", 10, GAP_MILLIS / 0.7);
                    report("b", "m", 10, GAP_MILLIS / 0.7);
                    report("c", "m", 25, GAP_MILLIS / 1.7);
                });

        assertThat(speed("a")).isEqualTo(1);
        assertThat(speed("b")).isEqualTo(1);
        assertThat(speed("c")).isCloseTo(1.7 / 0.7, PRECISION);
    }

    /** Guards against a server that counts as slow because its model is. */
    @Test
    void pacesOfModelsAreNotAttributedToServers() {
        run(
                30,
                () -> {
                    report("a", "quick", 10, GAP_MILLIS);
                    report("b", "quick", 3, GAP_MILLIS);
                    report("b", "thorough", 10, 3 * GAP_MILLIS);
                    report("c", "thorough", 10, 3 * GAP_MILLIS);
                    report("d", "alone", 10, 9 * GAP_MILLIS);
                });

        assertThat(List.of(speed("a"), speed("b"), speed("c"), speed("d"))).containsOnly(1.0);
    }

    @Test
    void aSlowServerIsFoundAmongServersWithDifferentModels() {
        run(
                30,
                () -> {
                    report("a", "quick", 10, GAP_MILLIS / 0.5);
                    report("a", "thorough", 10, 3 * GAP_MILLIS / 0.5);
                    report("b", "quick", 10, GAP_MILLIS);
                    report("c", "thorough", 10, 3 * GAP_MILLIS);
                });

        assertThat(speed("a")).isCloseTo(0.5, PRECISION);
        assertThat(speed("b")).isEqualTo(1);
        assertThat(speed("c")).isEqualTo(1);
    }

    @Test
    void poolsAreComparedWithinThemselves() {
        run(
                30,
                () -> {
                    report("a", "m", 10, GAP_MILLIS);
                    report("b", "m", 10, GAP_MILLIS);
                    mSpeeds.record(new MeasuredServer("other", "z", 1), "m", 10, 1000, nowNanos());
                });

        assertThat(speed("a")).isEqualTo(1);
        assertThat(mSpeeds.speed(new MeasuredServer("other", "z", 1))).hasValue(1.0);
    }

    /** Guards against the speed of an earlier process for a server that has just started. */
    @Test
    void anotherStartOfAServerIsUnknownUntilItIsMeasured() {
        run(30, this::reportSlowServer);
        assertThat(speed("a")).isCloseTo(0.5, PRECISION);
        MeasuredServer restarted = new MeasuredServer("pool", "a", 2);

        assertThat(mSpeeds.speed(restarted)).isEmpty();
        mSpeeds.record(restarted, "m", 5, 5 * GAP_MILLIS / 0.5, nowNanos());
        assertThat(mSpeeds.speed(restarted)).hasValue(1.0);
        assertThat(mSpeeds.speed(server("a"))).isEmpty();
    }

    @Test
    void aServerThatIsNoLongerListedIsForgotten() {
        run(30, this::reportSlowServer);

        mSpeeds.retain(Set.of(server("b"), server("c")));

        assertThat(mSpeeds.speeds())
                .extracting(speed -> speed.server().instance())
                .containsExactlyInAnyOrder("b", "c");
    }

    @Test
    void aSpeedExpiresFifteenSecondsAfterTheLastGap() {
        run(30, this::reportSlowServer);

        run(14, () -> {});
        assertThat(mSpeeds.speed(server("a"))).isPresent();
        run(2, () -> {});
        assertThat(mSpeeds.speeds()).isEmpty();
    }

    /** Guards against a server that stays slow in the view of hosts after a fault has ended. */
    @Test
    void aServerThatWasSlowForTenSecondsHasItsUsualSpeedAfterwards() {
        run(20, () -> reportPool(1));
        run(10, () -> reportPool(1 / 3.0));
        assertThat(speed("a")).isLessThan(0.8);

        run(40, () -> reportPool(1));
        assertThat(speed("a")).isEqualTo(1);
    }

    /** Guards against oscillation, as the calls follow the speed and change it. */
    @Test
    void aSpeedChangesByAtMostTwentyPercentPerSecond() {
        run(20, () -> reportPool(1));
        double last = 1;
        for (int second = 0; second < 20; second++) {
            run(1, () -> reportPool(0.2));
            // Steps within the range that counts as equal are not shown, nor parts of a percent.
            assertThat(speed("a")).isGreaterThanOrEqualTo(Math.min(last, 0.9) / 1.2 - 0.01);
            last = speed("a");
        }
        assertThat(last).isEqualTo(ServerSpeeds.MIN_SPEED);
    }

    @Test
    void aServerWithFewGapsHasTheSpeedOfTheOthers() {
        report("a", "m", 19, 10 * GAP_MILLIS);
        report("b", "m", 500, GAP_MILLIS);
        report("c", "m", 500, GAP_MILLIS);
        run(5, () -> {});

        assertThat(speed("a")).isEqualTo(1);
    }

    /** Guards against events that arrive together, whose gaps say nothing of the server. */
    @Test
    void gapsOfZeroAreNoSpeed() {
        run(
                30,
                () -> {
                    report("a", "m", 10, 0);
                    report("b", "m", 10, GAP_MILLIS);
                    report("c", "m", 10, GAP_MILLIS);
                });

        assertThat(speed("a")).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "-1, 40", "2000000, 40", "10, NaN", "10, Infinity", "10, -1", "10, 10001"})
    void impossibleGapsAreIgnored(long gaps, double sumMillis) {
        assertThat(mSpeeds.record(server("a"), "m", gaps, sumMillis, nowNanos())).isFalse();
        assertThat(mSpeeds.speeds()).isEmpty();
    }

    @Test
    void aServerThatBecomesSlowIsReportedOnce() {
        run(20, () -> reportPool(1));
        assertThat(mChanges).isEmpty();
        run(30, this::reportSlowServer);

        assertThat(mChanges).hasSize(1);
        assertThat(mChanges.get(0).server()).isEqualTo(server("a"));
        assertThat(mChanges.get(0).from()).isEqualTo(SpeedBand.USUAL);
        assertThat(mChanges.get(0).to()).isEqualTo(SpeedBand.SLOW);
    }

    /** Guards against a log that is full of one server at the border of two classes. */
    @Test
    void changesOfAServerAreReportedAtMostOnceInTenSeconds() {
        ServerPace pace = new ServerPace(server("a"), 0);
        List<Double> reportedAt = new ArrayList<>();
        for (mNow = 1; mNow <= 60; mNow++) {
            pace.approach(mNow % 4 < 2 ? 0.7 : 0.95, nowNanos());
            pace.takeChange(nowNanos()).ifPresent(change -> reportedAt.add(mNow));
        }

        assertThat(reportedAt).hasSizeGreaterThan(2);
        for (int change = 1; change < reportedAt.size(); change++) {
            assertThat(reportedAt.get(change) - reportedAt.get(change - 1))
                    .isGreaterThanOrEqualTo(10);
        }
    }

    private void reportSlowServer() {
        reportPool(0.5);
    }

    private void reportPool(double speed) {
        report("a", "m", 10, GAP_MILLIS / speed);
        report("b", "m", 10, GAP_MILLIS);
        report("c", "m", 10, GAP_MILLIS);
    }

    private void report(String server, String model, int gaps, double gapMillis) {
        mSpeeds.record(server(server), model, gaps, gaps * gapMillis, nowNanos());
    }

    /** Reports every second, and then updates the speeds. */
    private void run(int seconds, Runnable report) {
        for (int second = 0; second < seconds; second++) {
            mNow++;
            report.run();
            mChanges.addAll(mSpeeds.update(nowNanos()));
        }
    }

    private double speed(String server) {
        return mSpeeds.speed(server(server)).orElseThrow();
    }

    private static MeasuredServer server(String instance) {
        return new MeasuredServer("pool", instance, 1);
    }

    private long nowNanos() {
        return Math.round(mNow * Duration.ofSeconds(1).toNanos());
    }
}
