package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Base64;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.vanillaslip.internal.attempt.Attempt;
import org.vanillaslip.internal.attempt.AttemptAction;
import org.vanillaslip.internal.attempt.AttemptFailure;
import org.vanillaslip.internal.attempt.AttemptKey;
import org.vanillaslip.internal.attempt.AttemptOutcome;
import org.vanillaslip.internal.attempt.AttemptRecord;
import org.vanillaslip.internal.attempt.AttemptStep;
import org.vanillaslip.internal.backend.forward.ServiceCall;
import org.vanillaslip.internal.backend.forward.ServiceResponse;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/**
 * Executes the attempt protocol for non-repeatable calls that carry an idempotency key. A started
 * attempt continues after its caller disconnects, so that the outcome is recorded.
 */
final class AttemptRunner {

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ABANDONED_NONCES = 10_000;

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final OutcomeRecorder mRecorder;
    private final Supplier<String> mNonces;
    private final Set<String> mRunningNonces = ConcurrentHashMap.newKeySet();
    private final Set<String> mAbandonedNonces =
            Collections.synchronizedSet(
                    Collections.newSetFromMap(new EvictingMap(MAX_ABANDONED_NONCES)));
    private final AtomicInteger mUnfinishedCount = new AtomicInteger();

    AttemptRunner(ObjectStore store, DecisionLoop loop, Supplier<String> nonces, EventLog log) {
        mStore = store;
        mLoop = loop;
        mNonces = nonces;
        mRecorder = new OutcomeRecorder(store, loop, log);
    }

    /** Runs the call at most once per key, or returns the outcome of an earlier attempt. */
    Mono<BufferedResponse> run(
            CallerRequest request, ServiceCall call, String key, Mono<ServiceResponse> send) {
        return Mono.defer(
                () -> {
                    RunningAttempt attempt = newRunningAttempt(request, call, key, send);
                    mUnfinishedCount.incrementAndGet();
                    Mono<BufferedResponse> detached =
                            attempt.perform(attempt.mProtocol.start())
                                    .doFinally(signal -> mUnfinishedCount.decrementAndGet())
                                    .cache();
                    detached.subscribe(done -> {}, failed -> {});
                    return detached;
                });
    }

    /** Returns the number of attempts that a graceful shutdown has to wait for. */
    int unfinishedCount() {
        return mUnfinishedCount.get() + mRecorder.pendingCount();
    }

    private RunningAttempt newRunningAttempt(
            CallerRequest request, ServiceCall call, String key, Mono<ServiceResponse> send) {
        String fingerprint =
                AttemptKey.fingerprint(call.method(), call.path(), call.query(), call.body());
        return new RunningAttempt(
                request,
                AttemptKey.objectName(request.caller().accountedWorkspace(), key),
                new AttemptRecord(mNonces.get(), fingerprint, Optional.empty()),
                send);
    }

    /** One attempt. Its steps run sequentially. */
    private final class RunningAttempt {
        private final CallerRequest mRequest;
        private final String mObjectName;
        private final AttemptRecord mOwnRecord;
        private final Mono<ServiceResponse> mSend;
        private final Attempt mProtocol;
        private long mObjectVersion;

        RunningAttempt(
                CallerRequest request,
                String objectName,
                AttemptRecord ownRecord,
                Mono<ServiceResponse> send) {
            mRequest = request;
            mObjectName = objectName;
            mOwnRecord = ownRecord;
            mSend = send;
            mProtocol =
                    new Attempt(ownRecord, mRunningNonces::contains, mAbandonedNonces::contains);
        }

        Mono<BufferedResponse> perform(AttemptStep step) {
            return switch (step.action()) {
                case CREATE ->
                        callPlatform(
                                step.action(),
                                mStore.create(
                                        AttemptRecordJson.COLLECTION,
                                        mObjectName,
                                        AttemptRecordJson.toJson(mOwnRecord)));
                case READ ->
                        callPlatform(
                                step.action(),
                                mStore.read(AttemptRecordJson.COLLECTION, mObjectName));
                case TAKE_OVER ->
                        callPlatform(
                                step.action(),
                                mStore.update(
                                        AttemptRecordJson.COLLECTION,
                                        mObjectName,
                                        mObjectVersion,
                                        AttemptRecordJson.toJson(mOwnRecord)));
                case RUN -> execute();
                case REPLAY -> Mono.just(replay(step.outcome().orElseThrow()));
                case REFUSE -> refuse(step);
            };
        }

        private Mono<BufferedResponse> callPlatform(
                AttemptAction action, Mono<Either<PlatformFailure, StoredObject>> call) {
            return PlatformCalls.withTimeout(call, PLATFORM_TIMEOUT, mLoop)
                    .flatMap(
                            result ->
                                    result.fold(
                                            failure -> onFailure(action, failure),
                                            stored -> onSuccess(action, stored)));
        }

        private Mono<BufferedResponse> onFailure(AttemptAction action, PlatformFailure failure) {
            AttemptStep step = mProtocol.onFailure(action, toAttemptFailure(failure));
            boolean delayNeeded = failure == PlatformFailure.OUTCOME_UNKNOWN;
            Mono<BufferedResponse> nextStep = Mono.defer(() -> perform(step));
            return delayNeeded
                    ? Mono.delay(PlatformCalls.RETRY_DELAY, mLoop.scheduler()).then(nextStep)
                    : nextStep;
        }

        private Mono<BufferedResponse> onSuccess(AttemptAction action, StoredObject stored) {
            mObjectVersion = stored.version();
            return perform(
                    action == AttemptAction.READ
                            ? mProtocol.onRead(AttemptRecordJson.fromJson(stored.spec()))
                            : mProtocol.onStored());
        }

        private Mono<BufferedResponse> execute() {
            mRunningNonces.add(mOwnRecord.nonce());
            return mSend.onErrorResume(error -> deleteRecordIfNotSent().then(Mono.error(error)))
                    .doOnError(error -> removeFromRunning())
                    .flatMap(this::recordOutcome);
        }

        private void removeFromRunning() {
            mRunningNonces.remove(mOwnRecord.nonce());
        }

        private Mono<BufferedResponse> recordOutcome(ServiceResponse response) {
            AttemptOutcome outcome =
                    new AttemptOutcome(
                            response.status(),
                            response.contentType(),
                            Base64.getEncoder().encodeToString(response.body()));
            return mRecorder
                    .record(
                            mObjectName,
                            mObjectVersion,
                            mOwnRecord.withOutcome(outcome),
                            this::removeFromRunning)
                    .thenReturn(replay(outcome));
        }

        /** Deletes the record of a call that was never sent, so that a retry can run. */
        private Mono<Void> deleteRecordIfNotSent() {
            if (!mRequest.sendState().tryForbidSending()) {
                return Mono.empty();
            }
            mAbandonedNonces.add(mOwnRecord.nonce());
            return PlatformCalls.withTimeout(
                            mStore.delete(
                                    AttemptRecordJson.COLLECTION, mObjectName, mObjectVersion),
                            PLATFORM_TIMEOUT,
                            mLoop)
                    .then();
        }

        private Mono<BufferedResponse> refuse(AttemptStep step) {
            if (mProtocol.recordMayExist()) {
                mAbandonedNonces.add(mOwnRecord.nonce());
            }
            return Mono.error(new RefusedException(step.refusal().orElseThrow()));
        }

        private BufferedResponse replay(AttemptOutcome outcome) {
            return BufferedResponse.of(
                    outcome.status(),
                    outcome.contentType(),
                    Base64.getDecoder().decode(outcome.bodyBase64()));
        }
    }

    private static AttemptFailure toAttemptFailure(PlatformFailure failure) {
        return switch (failure) {
            case CONFLICT -> AttemptFailure.CONFLICT;
            case OUTCOME_UNKNOWN -> AttemptFailure.ANSWER_LOST;
            case NOT_FOUND -> AttemptFailure.MISSING;
            case THROTTLED, UNAVAILABLE, SILENT, GONE, UNREADABLE, BEHIND ->
                    AttemptFailure.UNREACHABLE;
        };
    }

    /**
     * Evicts the oldest entries beyond the limit. A retry of an attempt that was evicted is only
     * refused with "outcome unknown".
     */
    private static final class EvictingMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;
        private final int mMaxEntries;

        EvictingMap(int maxEntries) {
            mMaxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > mMaxEntries;
        }
    }
}
