package org.vanillaslip.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.AnswerBody.Collected;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against an answer that is given up although it arrives, or awaited although it stops. */
class AnswerBodyTest {

    private static final Duration LIMIT = Duration.ofMillis(600);
    private static final Duration JUST_BELOW = Duration.ofMillis(599);
    private static final byte[] HEAD = new byte[0];
    private static final int MAX_BYTES = 2_000_000;

    private final VirtualTimeScheduler mTimer = VirtualTimeScheduler.create(true);
    private final Sinks.Many<byte[]> mParts = Sinks.many().unicast().onBackpressureBuffer();

    @Test
    void anAnswerOfAnyLengthIsCollectedWhileItMakesProgress() {
        CompletableFuture<Collected> answer = collect(AnswerTimeLimits.ofSilence(LIMIT, LIMIT));
        arrive(HEAD);
        arrive(new byte[20_000]);
        for (int part = 1; part < 100; part++) {
            mTimer.advanceTimeBy(JUST_BELOW);
            arrive(new byte[20_000]);
        }
        mParts.tryEmitComplete();

        assertThat(answer.join().bytes()).hasSize(2_000_000);
        assertThat(answer.join().transferTime()).isEqualTo(JUST_BELOW.multipliedBy(99));
    }

    @Test
    void anAnswerWithoutABodyIsGivenUpAfterTheLimitOfTheFirstPart() {
        CompletableFuture<Collected> answer =
                collect(AnswerTimeLimits.ofSilence(LIMIT.multipliedBy(3), LIMIT));
        mTimer.advanceTimeBy(LIMIT.multipliedBy(3).minusMillis(1));
        boolean early = answer.isDone();
        mTimer.advanceTimeBy(Duration.ofMillis(1));

        assertThat(early).isFalse();
        assertThat(failure(answer)).isInstanceOf(TimeoutException.class);
    }

    /** A store may send the head at once and the body when there is a change. */
    @Test
    void theHeadDoesNotShortenTheWaitForTheBody() {
        CompletableFuture<Collected> answer =
                collect(AnswerTimeLimits.ofSilence(LIMIT.multipliedBy(3), LIMIT));
        arrive(HEAD);
        mTimer.advanceTimeBy(LIMIT.multipliedBy(3).minusMillis(1));
        boolean early = answer.isDone();
        mTimer.advanceTimeBy(Duration.ofMillis(1));

        assertThat(early).isFalse();
        assertThat(failure(answer)).isInstanceOf(TimeoutException.class);
    }

    /** A store that is gone, or a connection without life, must be noticed as soon as before. */
    @Test
    void anAnswerThatFallsSilentIsGivenUpAfterTheSilence() {
        CompletableFuture<Collected> answer =
                collect(AnswerTimeLimits.ofSilence(LIMIT.multipliedBy(3), LIMIT));
        arrive(HEAD);
        arrive(new byte[20_000]);
        mTimer.advanceTimeBy(JUST_BELOW);
        boolean early = answer.isDone();
        mTimer.advanceTimeBy(Duration.ofMillis(1));

        assertThat(early).isFalse();
        assertThat(failure(answer)).isInstanceOf(TimeoutException.class);
    }

    /** A lease counts from the sending of its renewal, so its answer must not take longer. */
    @Test
    void anAnswerWithALimitOfTheWholeIsGivenUpDespiteItsProgress() {
        CompletableFuture<Collected> answer = collect(AnswerTimeLimits.ofWhole(LIMIT));
        arrive(HEAD);
        mTimer.advanceTimeBy(LIMIT.dividedBy(2));
        arrive(new byte[20_000]);
        mTimer.advanceTimeBy(LIMIT.dividedBy(2));

        assertThat(failure(answer)).isInstanceOf(TimeoutException.class);
    }

    /** A connection that delivers single bytes is never silent and never done. */
    @Test
    void anAnswerOfSingleBytesIsGivenUp() {
        CompletableFuture<Collected> answer = collect(AnswerTimeLimits.ofSilence(LIMIT, LIMIT));
        arrive(HEAD);
        arrive(new byte[1]);
        int parts = 0;
        while (!answer.isDone() && parts < 100) {
            mTimer.advanceTimeBy(JUST_BELOW);
            arrive(new byte[1]);
            parts++;
        }

        assertThat(parts).isLessThan(20);
        assertThat(failure(answer)).hasMessageContaining("bytes arrived");
    }

    /** Guards against a heap that one answer fills. */
    @Test
    void anAnswerThatIsTooLongIsGivenUp() {
        CompletableFuture<Collected> answer = collect(AnswerTimeLimits.ofSilence(LIMIT, LIMIT));
        arrive(HEAD);
        arrive(new byte[MAX_BYTES]);
        boolean early = answer.isDone();
        arrive(new byte[1]);

        assertThat(early).isFalse();
        assertThat(failure(answer)).isInstanceOf(AnswerBody.AnswerTooLongException.class);
    }

    private CompletableFuture<Collected> collect(AnswerTimeLimits limits) {
        return AnswerBody.collect(mParts.asFlux(), limits, MAX_BYTES, mTimer).toFuture();
    }

    private void arrive(byte[] part) {
        mParts.tryEmitNext(part);
    }

    private static Throwable failure(CompletableFuture<Collected> answer) {
        assertThat(answer).isCompletedExceptionally();
        return answer.handle((value, failure) -> failure)
                .thenApply(
                        failure ->
                                failure instanceof CompletionException
                                        ? failure.getCause()
                                        : failure)
                .join();
    }
}
