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

    /** Notes the class of the route. */
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
            mMetrics.callerLeft(mRequestClass);
        }
    }

    /** Notes a token of the answer. */
    void recordToken() {
        if (mFirstTokenRecorded.compareAndSet(false, true)) {
            mRequestClass.ifPresent(
                    requestClass ->
                            mMetrics.firstToken(requestClass, elapsedSince(mAcceptedAtNanos)));
        }
    }

    /** Records how long the queue takes to choose a server or to refuse. */
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
