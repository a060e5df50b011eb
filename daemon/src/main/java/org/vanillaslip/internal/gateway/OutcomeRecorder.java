package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanillaslip.internal.attempt.AttemptRecord;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Records outcomes, and goes on in the background while the platform does not answer. */
final class OutcomeRecorder {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /** The caller waits no longer than this for the record; the outcome itself is known. */
    private static final Duration CALLER_WAIT = Duration.ofSeconds(1);

    /** With doubling pauses from 100 ms the last try comes after about 100 s. */
    private static final int MOST_TRIES = 11;

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final AtomicInteger mPending = new AtomicInteger();

    OutcomeRecorder(ObjectStore store, DecisionLoop loop, EventLog log) {
        mStore = store;
        mLoop = loop;
        mLog = log;
    }

    /** Completes when the outcome is recorded, or after a bound while recording goes on. */
    Mono<Void> record(String name, long version, AttemptRecord record, Runnable onEnd) {
        return Mono.defer(
                () -> {
                    mPending.incrementAndGet();
                    Mono<Void> recording =
                            attempt(name, version, record, 1)
                                    .doFinally(
                                            signal -> {
                                                mPending.decrementAndGet();
                                                onEnd.run();
                                            })
                                    .cache();
                    recording.subscribe();
                    return recording.timeout(CALLER_WAIT, Mono.empty(), mLoop.scheduler());
                });
    }

    int pending() {
        return mPending.get();
    }

    private Mono<Void> attempt(String name, long version, AttemptRecord record, int tries) {
        return PlatformCalls.bounded(
                        mStore.update(
                                AttemptSpec.COLLECTION, name, version, AttemptSpec.write(record)),
                        CALL_TIMEOUT,
                        mLoop)
                .flatMap(
                        result ->
                                result.fold(
                                        failure -> failed(name, version, record, tries, failure),
                                        stored -> Mono.<Void>empty()));
    }

    /** A conflict means that an earlier try took effect: no other host changes this record. */
    private Mono<Void> failed(
            String name, long version, AttemptRecord record, int tries, PlatformFailure failure) {
        if (failure == PlatformFailure.CONFLICT && tries > 1) {
            return Mono.empty();
        }
        boolean passing =
                failure == PlatformFailure.OUTCOME_UNKNOWN
                        || failure == PlatformFailure.UNAVAILABLE
                        || failure == PlatformFailure.THROTTLED;
        if (!passing || tries >= MOST_TRIES) {
            mLog.log(
                    RequestEvent.OUTCOME_NOT_RECORDED,
                    LogField.field("attempt", name),
                    LogField.field("cause", failure));
            return Mono.empty();
        }
        Duration pause = PlatformCalls.PAUSE.multipliedBy(1L << (tries - 1));
        return Mono.delay(pause, mLoop.scheduler())
                .then(Mono.defer(() -> attempt(name, version, record, tries + 1)));
    }
}
