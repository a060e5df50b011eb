package org.vanillaslip.internal.backend.forward;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillaslip.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Ends a stream that emits nothing although more items were requested. A plain timeout would also
 * end a stream that waits for a slow subscriber.
 */
public final class SilenceTimeout {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final Scheduler mTimers;
    private final MonotonicClock mClock;
    private final Duration mTimeout;

    /** Creates a timeout measured by the given clock. */
    public SilenceTimeout(Scheduler timers, MonotonicClock clock, Duration timeout) {
        mTimers = timers;
        mClock = clock;
        mTimeout = timeout;
    }

    /** Returns the source, which signals {@link TimeoutException} after the timeout. */
    public <T> Flux<T> apply(Flux<T> source) {
        return Flux.defer(
                () -> {
                    AtomicLong outstanding = new AtomicLong();
                    AtomicLong lastActiveNanos = new AtomicLong(mClock.nowNanos());
                    Flux<T> watched =
                            source.doOnNext(
                                            item -> {
                                                outstanding.decrementAndGet();
                                                lastActiveNanos.set(mClock.nowNanos());
                                            })
                                    .doOnRequest(
                                            additional ->
                                                    recordDemand(
                                                            outstanding,
                                                            lastActiveNanos,
                                                            additional));
                    AtomicBoolean timedOut = new AtomicBoolean();
                    Mono<Long> timeout =
                            Flux.interval(CHECK_INTERVAL, mTimers)
                                    .filter(
                                            tick ->
                                                    isSilent(
                                                            outstanding.get(),
                                                            lastActiveNanos.get()))
                                    .next()
                                    .doOnNext(tick -> timedOut.set(true));
                    // An error of the other publisher would not cancel the source.
                    return watched.takeUntilOther(timeout)
                            .concatWith(
                                    Mono.defer(
                                            () ->
                                                    timedOut.get()
                                                            ? Mono.error(timeoutError())
                                                            : Mono.empty()));
                });
    }

    private void recordDemand(AtomicLong outstanding, AtomicLong lastActiveNanos, long additional) {
        long previous = outstanding.getAndUpdate(count -> addCapped(count, additional));
        if (previous <= 0) {
            lastActiveNanos.set(mClock.nowNanos());
        }
    }

    private boolean isSilent(long outstanding, long lastActiveNanos) {
        return outstanding > 0 && mClock.nowNanos() - lastActiveNanos >= mTimeout.toNanos();
    }

    private static TimeoutException timeoutError() {
        return new TimeoutException("the stream stayed silent");
    }

    private static long addCapped(long count, long additional) {
        return count > Long.MAX_VALUE - additional ? Long.MAX_VALUE : count + additional;
    }
}
