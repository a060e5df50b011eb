package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.backend.forward.ForwardException;
import org.vanillaslip.internal.backend.forward.ForwardFailureKind;

/**
 * Whether bytes of one request may have reached a backend server. A request that was answered with
 * "not run" can't be sent afterwards, and the other way round.
 */
final class RequestTrace {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AtomicReference<State> mState = new AtomicReference<>(State.UNSENT);

    /** Claims the right to send; false when the request was answered as not run. */
    boolean begin() {
        return mState.updateAndGet(state -> state == State.UNSENT ? State.SENDING : state)
                != State.NOT_RUN;
    }

    /** Notes that bytes may be on their way. */
    void markSent() {
        mState.set(State.SENT);
    }

    /** Notes that no connection was made; earlier sends still count. */
    void connectFailed() {
        mState.compareAndSet(State.SENDING, State.UNSENT);
    }

    /** Forbids sending; false when bytes may have been sent. */
    boolean closeAsNotRun() {
        return mState.updateAndGet(state -> state == State.UNSENT ? State.NOT_RUN : state)
                == State.NOT_RUN;
    }

    /** Returns the refusal, or BACKEND_FAILED when it would wrongly say "not run". */
    Refusal truthful(Refusal refusal) {
        if (!refusal.code().notRun() || closeAsNotRun()) {
            return refusal;
        }
        return new Refusal(ResultCode.BACKEND_FAILED, refusal.code().name(), refusal.retryAfter());
    }

    /** Returns the refusal for a passed deadline. */
    Refusal deadlinePassed() {
        ResultCode code =
                closeAsNotRun() ? ResultCode.DEADLINE_UNREACHABLE : ResultCode.DEADLINE_EXPIRED;
        return Refusal.retryable(code, "deadline", RETRY_AFTER);
    }

    /** Returns the refusal for a failed forwarding. */
    Refusal failed(ForwardException failure) {
        String detail = String.valueOf(failure.getMessage());
        return truthful(new Refusal(codeOf(failure), detail, Optional.of(RETRY_AFTER)));
    }

    private static ResultCode codeOf(ForwardException failure) {
        if (failure.responseStarted()) {
            return ResultCode.STREAM_INCOMPLETE;
        } else if (failure.kind() == ForwardFailureKind.NOT_SENT) {
            return ResultCode.NO_BACKEND_SERVER;
        } else if (failure.kind() == ForwardFailureKind.MISMATCHED) {
            return ResultCode.ANSWER_MISMATCHED;
        }
        return ResultCode.BACKEND_FAILED;
    }

    private enum State {
        UNSENT,
        SENDING,
        SENT,
        NOT_RUN
    }
}
