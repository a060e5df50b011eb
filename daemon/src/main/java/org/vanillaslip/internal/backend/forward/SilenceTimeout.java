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
 * Ends a stream that stays silent although more was requested. A plain timeout would also end a
 * stream that waits for a slow reader.
 */
public final class SilenceTimeout {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final Scheduler mTimers;
    private final MonotonicClock mClock;
    private final Duration mBound;

    /** Creates a bound that is checked by the given clock. */
    public SilenceTimeout(Scheduler timers, MonotonicClock clock, Duration bound) {
        mTimers = timers;
        mClock = clock;
        mBound = bound;
    }

    /** Returns the source, ended by an error after too long a silence. */
    public <T> Flux<T> apply(Flux<T> source) {
        return Flux.defer(
                () -> {
                    AtomicLong owed = new AtomicLong();
                    AtomicLong active = new AtomicLong(mClock.nowNanos());
                    Flux<T> watched =
                            source.doOnNext(
                                            part -> {
                                                owed.decrementAndGet();
                                                active.set(mClock.nowNanos());
                                            })
                                    .doOnRequest(more -> request(owed, active, more));
                    AtomicBoolean silent = new AtomicBoolean();
                    Mono<Long> bound =
                            Flux.interval(CHECK_INTERVAL, mTimers)
                                    .filter(tick -> silent(owed.get(), active.get()))
                                    .next()
                                    .doOnNext(tick -> silent.set(true));
                    // An error of the other publisher would leave the source running.
                    return watched.takeUntilOther(bound)
                            .concatWith(
                                    Mono.defer(
                                            () ->
                                                    silent.get()
                                                            ? Mono.error(silence())
                                                            : Mono.empty()));
                });
    }

    private void request(AtomicLong owed, AtomicLong active, long more) {
        long before = owed.getAndUpdate(count -> addCapped(count, more));
        if (before <= 0) {
            active.set(mClock.nowNanos());
        }
    }

    private boolean silent(long owed, long activeNanos) {
        return owed > 0 && mClock.nowNanos() - activeNanos >= mBound.toNanos();
    }

    private static TimeoutException silence() {
        return new TimeoutException("the stream stayed silent");
    }

    private static long addCapped(long count, long more) {
        return count > Long.MAX_VALUE - more ? Long.MAX_VALUE : count + more;
    }
}
