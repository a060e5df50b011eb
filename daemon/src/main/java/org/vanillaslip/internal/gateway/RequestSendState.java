package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.backend.forward.ForwardException;
import org.vanillaslip.internal.backend.forward.ForwardFailureKind;

/**
 * Tracks whether bytes of a request may have reached a backend server. A request that was answered
 * with "not run" cannot be sent afterwards, and a request that may have been sent cannot be
 * answered with "not run".
 */
final class RequestSendState {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AtomicReference<State> mState = new AtomicReference<>(State.UNSENT);

    /** Starts to send, or returns false if the request was already answered with "not run". */
    boolean tryBeginSend() {
        return mState.updateAndGet(state -> state == State.UNSENT ? State.SENDING : state)
                != State.NOT_RUN;
    }

    /** Records that bytes may have been sent. */
    void recordSent() {
        mState.set(State.SENT);
    }

    /** Records that no connection was made. The state of earlier tries is kept. */
    void recordConnectFailure() {
        mState.compareAndSet(State.SENDING, State.UNSENT);
    }

    /** Forbids sending, or returns false if bytes may already have been sent. */
    boolean tryForbidSending() {
        return mState.updateAndGet(state -> state == State.UNSENT ? State.NOT_RUN : state)
                == State.NOT_RUN;
    }

    /** Returns the refusal, or BACKEND_FAILED if its code would wrongly report "not run". */
    Refusal withAccurateCode(Refusal refusal) {
        if (!refusal.code().notRun() || tryForbidSending()) {
            return refusal;
        }
        return new Refusal(ResultCode.BACKEND_FAILED, refusal.code().name(), refusal.retryAfter());
    }

    /** Returns the refusal for a request whose deadline has expired. */
    Refusal deadlineRefusal() {
        ResultCode code =
                tryForbidSending() ? ResultCode.DEADLINE_UNREACHABLE : ResultCode.DEADLINE_EXPIRED;
        return Refusal.retryable(code, "deadline", RETRY_AFTER);
    }

    /** Returns the refusal for a request that could not be forwarded. */
    Refusal failureRefusal(ForwardException failure) {
        String detail = String.valueOf(failure.getMessage());
        return withAccurateCode(new Refusal(codeOf(failure), detail, Optional.of(RETRY_AFTER)));
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
