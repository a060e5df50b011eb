package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against old news that begins or ends the limit of a server. */
class ServerLimitTest {

    private final ServerLimit mLimit = new ServerLimit();

    @Test
    void anAnswerToAnOlderRequestDoesNotEndTheLimit() {
        mLimit.recordNamed(2.2, 100);

        assertThat(mLimit.recordNone(90)).isFalse();
        assertThat(mLimit.isLimited()).isTrue();
    }

    @Test
    void anAnswerToALaterRequestEndsTheLimit() {
        mLimit.recordNamed(2.2, 100);

        assertThat(mLimit.recordNone(101)).isTrue();
        assertThat(mLimit.isLimited()).isFalse();
    }

    @Test
    void newsOfAnOlderAnswerChangesNothing() {
        mLimit.recordNamed(2.2, 100);

        assertThat(mLimit.applyNews(OptionalDouble.empty(), 99)).isFalse();
        assertThat(mLimit.applyNews(OptionalDouble.of(50), 100)).isFalse();
        assertThat(mLimit.requestsPerSecond()).hasValue(2.2);
    }

    @Test
    void oldNewsDoesNotBringAnEndedLimitBack() {
        mLimit.recordNamed(2.2, 100);
        mLimit.recordNone(200);

        assertThat(mLimit.applyNews(OptionalDouble.of(2.2), 150)).isFalse();
        assertThat(mLimit.isLimited()).isFalse();
    }

    @Test
    void aLimitIsAskedForWhenNoAnswerHasConfirmedIt() {
        mLimit.recordNamed(2.2, 0);

        assertThat(mLimit.isConfirmationDue(Duration.ofSeconds(3).toNanos())).isFalse();
        assertThat(mLimit.isConfirmationDue(Duration.ofSeconds(5).toNanos())).isTrue();
    }

    /** A server that takes no requests could otherwise never say that its limit has ended. */
    @Test
    void aServerThatTakesNoRequestsIsStillAsked() {
        mLimit.recordNamed(0, 0);

        assertThat(mLimit.permittedPerSecond()).isBetween(0.01, 1.0);
    }
}
