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

    /** The body, and the time from the head to the end of the answer. */
    record Collected(byte[] bytes, Duration transferTime) {}

    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final Scheduler mTimer;
    private long mHeadNanos;
    private boolean mHeadReceived;

    private AnswerBody(Scheduler timer) {
        mTimer = timer;
    }

    /**
     * Returns the body, or signals {@link TimeoutException} if a limit is exceeded.
     *
     * @param parts an empty part when the head arrives, then the parts of the body
     */
    static Mono<Collected> collect(Flux<byte[]> parts, AnswerTimeLimits limits, Scheduler timer) {
        Mono<Collected> collected =
                parts.timeout(
                                Mono.delay(limits.head(), timer),
                                part -> Mono.delay(limits.silence(), timer))
                        .collect(() -> new AnswerBody(timer), AnswerBody::add)
                        .map(AnswerBody::finish);
        return limits.whole().map(whole -> collected.timeout(whole, timer)).orElse(collected);
    }

    private void add(byte[] part) {
        if (!mHeadReceived) {
            mHeadReceived = true;
            mHeadNanos = mTimer.now(TimeUnit.NANOSECONDS);
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
        return Duration.ofNanos(mTimer.now(TimeUnit.NANOSECONDS) - mHeadNanos);
    }

    /** Signals an answer that arrives too slowly to be of use. */
    private static final class SlowAnswerException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        SlowAnswerException(int bytes, Duration time) {
            super("Only " + bytes + " bytes arrived in " + time.toMillis() + " ms.");
        }
    }
}
