package org.vanillaslip.internal.platform;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Collects the body of an answer while it makes progress. */
final class AnswerBody {

    /**
     * An answer that is slower than this for long is given up: a connection that delivers single
     * bytes is never silent and never done.
     */
    private static final int MIN_BYTES_PER_SECOND = 16 << 10;

    /** Time in which an answer may be slower, such as after packets were lost. */
    private static final Duration SLOW_TIME = Duration.ofSeconds(5);

    /** The body, and the time from its first part to its end. */
    record Collected(byte[] bytes, Duration transferTime) {}

    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final int mMaxBytes;
    private final Scheduler mTimer;
    private long mFirstPartNanos;

    private AnswerBody(int maxBytes, Scheduler timer) {
        mMaxBytes = maxBytes;
        mTimer = timer;
    }

    /**
     * Returns the body, or signals {@link TimeoutException} if a limit is exceeded.
     *
     * @param parts an empty part when the head arrives, then the parts of the body
     * @param maxBytes length above which {@link AnswerTooLongException} is signalled
     */
    static Mono<Collected> collect(
            Flux<byte[]> parts, AnswerTimeLimits limits, int maxBytes, Scheduler timer) {
        Mono<Collected> collected =
                Mono.defer(
                        () -> {
                            long startNanos = timer.now(TimeUnit.NANOSECONDS);
                            AnswerBody body = new AnswerBody(maxBytes, timer);
                            return parts.timeout(
                                            Mono.delay(limits.firstPart(), timer),
                                            part ->
                                                    Mono.delay(
                                                            part.length > 0
                                                                    ? limits.silence()
                                                                    : body.rest(limits, startNanos),
                                                            timer))
                                    .doOnNext(body::add)
                                    .then(Mono.fromSupplier(body::finish));
                        });
        return limits.whole().map(whole -> collected.timeout(whole, timer)).orElse(collected);
    }

    /** Returns the time left for the first part of the body. */
    private Duration rest(AnswerTimeLimits limits, long startNanos) {
        return limits.firstPart().minusNanos(mTimer.now(TimeUnit.NANOSECONDS) - startNanos);
    }

    private void add(byte[] part) {
        if (mBytes.size() == 0) {
            mFirstPartNanos = mTimer.now(TimeUnit.NANOSECONDS);
        }
        if (mBytes.size() + part.length > mMaxBytes) {
            throw new AnswerTooLongException(mMaxBytes);
        }
        mBytes.writeBytes(part);
        Duration allowed = SLOW_TIME.plusMillis(mBytes.size() * 1000L / MIN_BYTES_PER_SECOND);
        if (transferTime().compareTo(allowed) > 0) {
            throw new SlowAnswerException(mBytes.size(), transferTime());
        }
    }

    private Collected finish() {
        return new Collected(mBytes.toByteArray(), transferTime());
    }

    private Duration transferTime() {
        return Duration.ofNanos(mTimer.now(TimeUnit.NANOSECONDS) - mFirstPartNanos);
    }

    /** Signals an answer that would take too much memory. */
    static final class AnswerTooLongException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        AnswerTooLongException(int maxBytes) {
            super("The answer is longer than " + maxBytes + " bytes.");
        }
    }

    /** Signals an answer that arrives too slowly to be of use. */
    private static final class SlowAnswerException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        SlowAnswerException(int bytes, Duration time) {
            super("Only " + bytes + " bytes arrived in " + time.toMillis() + " ms.");
        }
    }
}
