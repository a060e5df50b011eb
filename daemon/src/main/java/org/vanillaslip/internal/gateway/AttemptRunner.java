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
 * Carries out the attempt protocol. Once it has begun, it goes on after the caller left, so that
 * the outcome is recorded.
 */
final class AttemptRunner {

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final int MOST_ABANDONED = 10_000;

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final OutcomeRecorder mRecorder;
    private final Supplier<String> mNonces;
    private final Set<String> mRunning = ConcurrentHashMap.newKeySet();
    private final Set<String> mAbandoned =
            Collections.synchronizedSet(Collections.newSetFromMap(new BoundedMap(MOST_ABANDONED)));
    private final AtomicInteger mUnfinished = new AtomicInteger();

    AttemptRunner(ObjectStore store, DecisionLoop loop, Supplier<String> nonces, EventLog log) {
        mStore = store;
        mLoop = loop;
        mNonces = nonces;
        mRecorder = new OutcomeRecorder(store, loop, log);
    }

    /** Runs the call at most once for the key, or returns what an earlier attempt recorded. */
    Mono<WholeReply> run(
            CallerRequest request, ServiceCall call, String key, Mono<ServiceResponse> send) {
        return Mono.defer(
                () -> {
                    Run run = newRun(request, call, key, send);
                    mUnfinished.incrementAndGet();
                    Mono<WholeReply> detached =
                            run.next(run.mAttempt.start())
                                    .doFinally(signal -> mUnfinished.decrementAndGet())
                                    .cache();
                    detached.subscribe(done -> {}, failed -> {});
                    return detached;
                });
    }

    /** Returns the number of attempts that a planned stop has to wait for. */
    int unfinished() {
        return mUnfinished.get() + mRecorder.pending();
    }

    private Run newRun(
            CallerRequest request, ServiceCall call, String key, Mono<ServiceResponse> send) {
        String fingerprint =
                AttemptKey.fingerprint(call.method(), call.path(), call.query(), call.body());
        return new Run(
                request,
                AttemptKey.objectName(request.caller().accountedWorkspace(), key),
                new AttemptRecord(mNonces.get(), fingerprint, Optional.empty()),
                send);
    }

    /** One attempt; its steps follow each other. */
    private final class Run {
        private final CallerRequest mRequest;
        private final String mName;
        private final AttemptRecord mOwn;
        private final Mono<ServiceResponse> mSend;
        private final Attempt mAttempt;
        private long mVersion;

        Run(CallerRequest request, String name, AttemptRecord own, Mono<ServiceResponse> send) {
            mRequest = request;
            mName = name;
            mOwn = own;
            mSend = send;
            mAttempt = new Attempt(own, mRunning::contains, mAbandoned::contains);
        }

        Mono<WholeReply> next(AttemptStep step) {
            return switch (step.action()) {
                case CREATE ->
                        platform(
                                step.action(),
                                mStore.create(
                                        AttemptSpec.COLLECTION, mName, AttemptSpec.write(mOwn)));
                case READ -> platform(step.action(), mStore.read(AttemptSpec.COLLECTION, mName));
                case TAKE_OVER ->
                        platform(
                                step.action(),
                                mStore.update(
                                        AttemptSpec.COLLECTION,
                                        mName,
                                        mVersion,
                                        AttemptSpec.write(mOwn)));
                case RUN -> execute();
                case REPLAY -> Mono.just(replay(step.outcome().orElseThrow()));
                case REFUSE -> refuse(step);
            };
        }

        private Mono<WholeReply> platform(
                AttemptAction action, Mono<Either<PlatformFailure, StoredObject>> call) {
            return PlatformCalls.bounded(call, PLATFORM_TIMEOUT, mLoop)
                    .flatMap(
                            result ->
                                    result.fold(
                                            failure -> failed(action, failure),
                                            stored -> succeeded(action, stored)));
        }

        private Mono<WholeReply> failed(AttemptAction action, PlatformFailure failure) {
            AttemptStep step = mAttempt.onFailure(action, failureOf(failure));
            boolean wait = failure == PlatformFailure.OUTCOME_UNKNOWN;
            Mono<WholeReply> next = Mono.defer(() -> next(step));
            return wait ? Mono.delay(PlatformCalls.PAUSE, mLoop.scheduler()).then(next) : next;
        }

        private Mono<WholeReply> succeeded(AttemptAction action, StoredObject stored) {
            mVersion = stored.version();
            return next(
                    action == AttemptAction.READ
                            ? mAttempt.onRead(AttemptSpec.read(stored.spec()))
                            : mAttempt.onStored());
        }

        private Mono<WholeReply> execute() {
            mRunning.add(mOwn.nonce());
            return mSend.onErrorResume(error -> withdraw().then(Mono.error(error)))
                    .doOnError(error -> ended())
                    .flatMap(this::record);
        }

        private void ended() {
            mRunning.remove(mOwn.nonce());
        }

        private Mono<WholeReply> record(ServiceResponse response) {
            AttemptOutcome outcome =
                    new AttemptOutcome(
                            response.status(),
                            response.contentType(),
                            Base64.getEncoder().encodeToString(response.body()));
            return mRecorder
                    .record(mName, mVersion, mOwn.withOutcome(outcome), this::ended)
                    .thenReturn(replay(outcome));
        }

        /** Removes the record of a call that was never sent, so that a repeat can run. */
        private Mono<Void> withdraw() {
            if (!mRequest.trace().closeAsNotRun()) {
                return Mono.empty();
            }
            mAbandoned.add(mOwn.nonce());
            return PlatformCalls.bounded(
                            mStore.delete(AttemptSpec.COLLECTION, mName, mVersion),
                            PLATFORM_TIMEOUT,
                            mLoop)
                    .then();
        }

        private Mono<WholeReply> refuse(AttemptStep step) {
            if (mAttempt.recordMayExist()) {
                mAbandoned.add(mOwn.nonce());
            }
            return Mono.error(new RefusedException(step.refusal().orElseThrow()));
        }

        private WholeReply replay(AttemptOutcome outcome) {
            return WholeReply.of(
                    outcome.status(),
                    outcome.contentType(),
                    Base64.getDecoder().decode(outcome.bodyBase64()));
        }
    }

    private static AttemptFailure failureOf(PlatformFailure failure) {
        return switch (failure) {
            case CONFLICT -> AttemptFailure.CONFLICT;
            case OUTCOME_UNKNOWN -> AttemptFailure.ANSWER_LOST;
            case NOT_FOUND -> AttemptFailure.MISSING;
            case THROTTLED, UNAVAILABLE, SILENT, GONE -> AttemptFailure.UNREACHABLE;
        };
    }

    /** Forgets the oldest entries; a forgotten attempt only gets "outcome unknown". */
    private static final class BoundedMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;
        private final int mMost;

        BoundedMap(int most) {
            mMost = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > mMost;
        }
    }
}
