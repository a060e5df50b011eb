package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.RequestClass;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import reactor.core.publisher.Mono;

/** Records the metrics of one request. Only the first outcome is recorded. */
final class RequestMetrics {

    private final DaemonMetrics mMetrics;
    private final MonotonicClock mClock;
    private final long mAcceptedAtNanos;
    private final AtomicBoolean mOutcomeRecorded = new AtomicBoolean();
    private final AtomicBoolean mFirstTokenRecorded = new AtomicBoolean();
    private volatile Optional<RequestClass> mRequestClass = Optional.empty();

    RequestMetrics(DaemonMetrics metrics, MonotonicClock clock) {
        mMetrics = metrics;
        mClock = clock;
        mAcceptedAtNanos = clock.nowNanos();
    }

    /** Sets the request class of the route, which labels all metrics of the request. */
    void recordRequestClass(RequestClass requestClass) {
        mRequestClass = Optional.of(requestClass);
    }

    void recordCompletion() {
        if (mOutcomeRecorded.compareAndSet(false, true)) {
            mMetrics.requestFinished(mRequestClass, Optional.empty());
        }
    }

    void recordRefusal(ResultCode code) {
        if (mOutcomeRecorded.compareAndSet(false, true)) {
            mMetrics.requestFinished(mRequestClass, Optional.of(code));
        }
    }

    void recordCallerLeft() {
        if (mOutcomeRecorded.compareAndSet(false, true)) {
            mMetrics.callerDisconnected(mRequestClass);
        }
    }

    /** Records the time to the first token. Later tokens have no effect. */
    void recordToken() {
        if (mFirstTokenRecorded.compareAndSet(false, true)) {
            mRequestClass.ifPresent(
                    requestClass ->
                            mMetrics.firstToken(requestClass, elapsedSince(mAcceptedAtNanos)));
        }
    }

    /** Records how long the request waits until a server is chosen or the request is refused. */
    <T> Mono<T> timeQueueWait(Mono<T> selection) {
        return Mono.defer(
                () -> {
                    long start = mClock.nowNanos();
                    return selection.doOnTerminate(
                            () ->
                                    mRequestClass.ifPresent(
                                            requestClass ->
                                                    mMetrics.queueWait(
                                                            requestClass, elapsedSince(start))));
                });
    }

    private Duration elapsedSince(long startNanos) {
        return Duration.ofNanos(mClock.nowNanos() - startNanos);
    }
}
