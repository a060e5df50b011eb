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

/** Records outcomes of attempts, with retries in the background while the platform fails. */
final class OutcomeRecorder {

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum time that the response, which is already known, is delayed by recording. */
    private static final Duration MAX_CALLER_WAIT = Duration.ofSeconds(1);

    /** With delays that double from 100 ms, the last try is made after about 100 s. */
    private static final int MAX_TRIES = 11;

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final AtomicInteger mPendingCount = new AtomicInteger();

    OutcomeRecorder(ObjectStore store, DecisionLoop loop, EventLog log) {
        mStore = store;
        mLoop = loop;
        mLog = log;
    }

    /** Completes when the outcome is recorded, or after a timeout while recording continues. */
    Mono<Void> record(String name, long version, AttemptRecord record, Runnable onEnd) {
        return Mono.defer(
                () -> {
                    mPendingCount.incrementAndGet();
                    Mono<Void> pendingWrite =
                            writeRecord(name, version, record, 1)
                                    .doFinally(
                                            signal -> {
                                                mPendingCount.decrementAndGet();
                                                onEnd.run();
                                            })
                                    .cache();
                    pendingWrite.subscribe();
                    return pendingWrite.timeout(MAX_CALLER_WAIT, Mono.empty(), mLoop.scheduler());
                });
    }

    int pendingCount() {
        return mPendingCount.get();
    }

    private Mono<Void> writeRecord(String name, long version, AttemptRecord record, int tryNumber) {
        return PlatformCalls.withTimeout(
                        mStore.update(
                                AttemptRecordJson.COLLECTION,
                                name,
                                version,
                                AttemptRecordJson.toJson(record)),
                        PLATFORM_TIMEOUT,
                        mLoop)
                .flatMap(
                        result ->
                                result.fold(
                                        failure ->
                                                retryOrLog(
                                                        name, version, record, tryNumber, failure),
                                        stored -> Mono.<Void>empty()));
    }

    /** A conflict means that an earlier try took effect, as no other host changes this record. */
    private Mono<Void> retryOrLog(
            String name,
            long version,
            AttemptRecord record,
            int tryNumber,
            PlatformFailure failure) {
        if (failure == PlatformFailure.CONFLICT && tryNumber > 1) {
            return Mono.empty();
        }
        boolean retryable =
                failure == PlatformFailure.OUTCOME_UNKNOWN
                        || failure == PlatformFailure.UNAVAILABLE
                        || failure == PlatformFailure.THROTTLED;
        if (!retryable || tryNumber >= MAX_TRIES) {
            mLog.log(
                    RequestEvent.OUTCOME_NOT_RECORDED,
                    LogField.field("attempt", name),
                    LogField.field("cause", failure));
            return Mono.empty();
        }
        Duration delay = PlatformCalls.RETRY_DELAY.multipliedBy(1L << (tryNumber - 1));
        return Mono.delay(delay, mLoop.scheduler())
                .then(Mono.defer(() -> writeRecord(name, version, record, tryNumber + 1)));
    }
}
