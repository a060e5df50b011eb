package org.vanillaslip.internal.attempt;

import java.time.Duration;
import java.util.function.Predicate;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;

/**
 * State machine of one non-repeatable call with an idempotency key. It returns RUN at most once,
 * and only after the record with the nonce of this attempt is known to be stored.
 */
public final class Attempt {

    /** Limits the calls of one request to a platform whose responses get lost. */
    private static final int MAX_PLATFORM_CALLS = 6;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AttemptRecord mOwnRecord;
    private final Predicate<String> mRunningHere;
    private final Predicate<String> mAbandonedHere;
    private int mPlatformCalls;
    private boolean mRecordMayExist;
    private boolean mRecordKnownToExist;
    private boolean mDecided;

    /**
     * Creates an attempt.
     *
     * @param own the record to create, without outcome
     * @param runningHere whether the nonce belongs to an attempt that runs on this host
     * @param abandonedHere whether the nonce belongs to an attempt that this host abandoned before
     *     it sent the call
     */
    public Attempt(
            AttemptRecord own, Predicate<String> runningHere, Predicate<String> abandonedHere) {
        mOwnRecord = own;
        mRunningHere = runningHere;
        mAbandonedHere = abandonedHere;
    }

    /** Returns the first step. */
    public AttemptStep start() {
        return platformCall(AttemptAction.CREATE);
    }

    /** Returns the next step after a successful create or take-over. */
    public AttemptStep onStored() {
        return run();
    }

    /** Returns the next step after a failed create, read or take-over. */
    public AttemptStep onFailure(AttemptAction failedAction, AttemptFailure failure) {
        if (failedAction != AttemptAction.READ && failure == AttemptFailure.ANSWER_LOST) {
            mRecordMayExist = true;
        }
        return switch (failure) {
            case CONFLICT -> {
                mRecordKnownToExist = true;
                yield platformCall(AttemptAction.READ);
            }
            case ANSWER_LOST -> platformCall(AttemptAction.READ);
            case MISSING -> {
                mRecordKnownToExist = false;
                yield platformCall(AttemptAction.CREATE);
            }
            case UNREACHABLE -> onUnreachable(failedAction);
        };
    }

    /** Returns the next step after a successful read. */
    public AttemptStep onRead(AttemptRecord stored) {
        if (stored.nonce().equals(mOwnRecord.nonce())) {
            return run();
        }
        if (!stored.fingerprint().equals(mOwnRecord.fingerprint())) {
            return refuse(ResultCode.IDEMPOTENCY_KEY_REUSED);
        }
        if (stored.outcome().isPresent()) {
            mDecided = true;
            return AttemptStep.replay(stored.outcome().get());
        }
        if (mAbandonedHere.test(stored.nonce())) {
            return platformCall(AttemptAction.TAKE_OVER);
        }
        return refuse(
                mRunningHere.test(stored.nonce())
                        ? ResultCode.ATTEMPT_IN_PROGRESS
                        : ResultCode.OUTCOME_UNKNOWN);
    }

    /** Returns whether a record of this attempt may be stored even though the call is refused. */
    public boolean recordMayExist() {
        return mRecordMayExist;
    }

    private AttemptStep onUnreachable(AttemptAction failedAction) {
        // Reads again: a refusal would abandon the record of this attempt, which may be stored.
        return failedAction == AttemptAction.READ && mRecordMayExist
                ? platformCall(AttemptAction.READ)
                : refuseWithoutRecord();
    }

    private AttemptStep platformCall(AttemptAction action) {
        if (++mPlatformCalls > MAX_PLATFORM_CALLS) {
            return refuseWithoutRecord();
        }
        return AttemptStep.of(action);
    }

    private AttemptStep run() {
        if (mDecided) {
            throw new IllegalStateException("the attempt was already decided");
        }
        mDecided = true;
        return AttemptStep.of(AttemptAction.RUN);
    }

    /** A record that exists but was not read may belong to an earlier attempt that did run. */
    private AttemptStep refuseWithoutRecord() {
        return refuse(
                mRecordKnownToExist ? ResultCode.OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE);
    }

    private AttemptStep refuse(ResultCode code) {
        mDecided = true;
        return AttemptStep.refuse(Refusal.retryable(code, "Idempotency-Key", RETRY_AFTER));
    }
}
