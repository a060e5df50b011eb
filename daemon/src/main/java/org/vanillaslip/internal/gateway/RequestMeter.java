package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.RequestClass;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import reactor.core.publisher.Mono;

/** Records one request in the metrics; only its first outcome counts. */
final class RequestMeter {

    private final DaemonMetrics mMetrics;
    private final MonotonicClock mClock;
    private final long mAcceptedNanos;
    private final AtomicBoolean mFinished = new AtomicBoolean();
    private final AtomicBoolean mFirstToken = new AtomicBoolean();
    private volatile Optional<RequestClass> mClass = Optional.empty();

    RequestMeter(DaemonMetrics metrics, MonotonicClock clock) {
        mMetrics = metrics;
        mClock = clock;
        mAcceptedNanos = clock.nowNanos();
    }

    /** Notes the class of the route. */
    void routed(RequestClass requestClass) {
        mClass = Optional.of(requestClass);
    }

    void completed() {
        if (mFinished.compareAndSet(false, true)) {
            mMetrics.requestFinished(mClass, Optional.empty());
        }
    }

    void refused(ResultCode code) {
        if (mFinished.compareAndSet(false, true)) {
            mMetrics.requestFinished(mClass, Optional.of(code));
        }
    }

    void callerLeft() {
        if (mFinished.compareAndSet(false, true)) {
            mMetrics.callerDisconnected(mClass);
        }
    }

    /** Notes a token of the answer. */
    void token() {
        if (mFirstToken.compareAndSet(false, true)) {
            mClass.ifPresent(known -> mMetrics.firstToken(known, since(mAcceptedNanos)));
        }
    }

    /** Records how long the queue takes to choose a server or to refuse. */
    <T> Mono<T> queued(Mono<T> choice) {
        return Mono.defer(
                () -> {
                    long start = mClock.nowNanos();
                    return choice.doOnTerminate(
                            () ->
                                    mClass.ifPresent(
                                            known -> mMetrics.queueWait(known, since(start))));
                });
    }

    private Duration since(long startNanos) {
        return Duration.ofNanos(mClock.nowNanos() - startNanos);
    }
}
