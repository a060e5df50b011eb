package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import org.reactivestreams.Publisher;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.fleet.FleetEvent;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.RequestSlot;
import org.vanillaslip.internal.fleet.ServerNotice;
import org.vanillaslip.internal.fleet.ServerNotices;
import org.vanillaslip.internal.fleet.ServerSelector;
import org.vanillaslip.internal.fleet.WaitingCallQueue;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.quarantine.CallSubject;
import org.vanillaslip.internal.quarantine.PromptFaultExchange;
import org.vanillaslip.internal.quarantine.UnansweredCall;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.WorkspacePolicy;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.netty.http.client.HttpClientResponse;

/** Sends calls to backend servers and decides whether a failed send is retried. */
final class CallSender {

    private static final Duration RETRY_AFTER_SEND_FAILURE = Duration.ofMillis(500);

    /** Long enough for all hosts to tell each other of crashes and answers, and to decide. */
    private static final Duration MAX_EVIDENCE_WAIT = Duration.ofMillis(450);

    private static final Duration EVIDENCE_CHECK_INTERVAL = Duration.ofMillis(25);

    private final BackendRequestSender mRequestSender;
    private final CallDialect mDialect;
    private final WaitingCallQueue mWaitingCalls;
    private final ServerSelector mSelector;
    private final ServerNotices mNotices;
    private final RetryBudgets mBudgets;
    private final PromptFaultExchange mPromptFaults;
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    CallSender(
            BackendRequestSender requestSender,
            CallDialect dialect,
            WaitingCallQueue waitingCalls,
            ServerSelector selector,
            ServerNotices notices,
            RetryBudgets budgets,
            PromptFaultExchange promptFaults,
            DecisionLoop loop,
            EventLog log) {
        mRequestSender = requestSender;
        mDialect = dialect;
        mWaitingCalls = waitingCalls;
        mSelector = selector;
        mNotices = notices;
        mBudgets = budgets;
        mPromptFaults = promptFaults;
        mLoop = loop;
        mLog = log;
    }

    /** Counts a call that has arrived and may be sent. */
    void recordCall(RelayCall call) {
        mBudgets.recordCall(call);
    }

    /** Waits for a server with a free request slot and reserves that slot for the call. */
    Mono<RequestSlot> acquireSlot(RelayCall call, Duration minRunTime) {
        return awaitEvidence(call)
                .then(awaitSlot(call, minRunTime))
                .doOnError(error -> mBudgets.cancelReservation(call))
                .doOnCancel(() -> mBudgets.cancelReservation(call));
    }

    /** Puts no third server at risk before what all hosts know of the earlier crashes is here. */
    private Mono<Void> awaitEvidence(RelayCall call) {
        return Mono.defer(
                () ->
                        isUndecided(call)
                                ? Flux.interval(EVIDENCE_CHECK_INTERVAL, mLoop.scheduler())
                                        .onBackpressureDrop()
                                        .take(MAX_EVIDENCE_WAIT)
                                        .takeUntil(tick -> !isUndecided(call))
                                        .then()
                                : Mono.empty());
    }

    private boolean isUndecided(RelayCall call) {
        return mPromptFaults.isSuspicious(call.callSubject())
                && !mPromptFaults.isQuarantined(call.crashSubjects());
    }

    private Mono<RequestSlot> awaitSlot(RelayCall call, Duration minRunTime) {
        return Mono.defer(
                () -> {
                    mPromptFaults.checkParts(call.crashSubjects());
                    if (mSelector.serversWith(call.target()).stream()
                            .allMatch(server -> call.triedServers().contains(server.instance()))) {
                        call.triedServers().clear();
                    }
                    return mWaitingCalls.awaitSlot(
                            call.serverRequest(), call.waitBounds(minRunTime));
                });
    }

    /** Reserves a request slot now on another server, and takes the run out of the retry budget. */
    Optional<RequestSlot> reserveStandby(RelayCall call, FleetMember current) {
        if (mPromptFaults.isQuarantined(call.crashSubjects())
                || mPromptFaults.hasCrashes(call.callSubject())) {
            return Optional.empty();
        }
        Optional<RequestSlot> slot =
                mWaitingCalls.reserveNow(call.standbyRequest(current.instance()));
        if (slot.isPresent()
                && (slot.get().server().health().silent(now()) || !mBudgets.tryAcquire(call))) {
            slot.get().release();
            return Optional.empty();
        }
        return slot;
    }

    /**
     * Sends the call to the server of the reserved request slot and releases the slot at the end.
     *
     * @param resumeAfter id of the last event that the caller has received
     */
    <T> Flux<T> send(
            RelayCall call,
            RequestSlot slot,
            OptionalLong resumeAfter,
            BiFunction<HttpClientResponse, Flux<byte[]>, Publisher<T>> onResponse) {
        FleetMember server = slot.server();
        return Flux.defer(
                        () -> {
                            mPromptFaults.checkParts(call.crashSubjects());
                            boolean sentAfterCrash = mPromptFaults.hasCrashes(call.callSubject());
                            int send = call.recordSend(server.instance());
                            mBudgets.recordSend(call);
                            logServerChosen(call, server);
                            long sentNanos = now();
                            HttpHeaders headers =
                                    mDialect.backendRequestHeaders(
                                            call.headers(),
                                            call.head(),
                                            outgoingCall(call, server, resumeAfter));
                            return mRequestSender
                                    .<T>send(
                                            server.registered().address(),
                                            call.method(),
                                            call.uri(),
                                            headers,
                                            call.body(),
                                            call.caller().requireOpen(),
                                            (response, chunks) ->
                                                    handleResponse(
                                                            call,
                                                            server,
                                                            sentNanos,
                                                            response,
                                                            chunks,
                                                            onResponse))
                                    .doOnError(
                                            error -> {
                                                recordSendFailure(call, server, send, error);
                                                recordCrash(call, server, sentAfterCrash, error);
                                            })
                                    .doOnCancel(() -> call.recordCancelledSend(server.instance()));
                        })
                .doOnError(RefusedException.class, refused -> mBudgets.cancelReservation(call))
                .doFinally(signal -> release(call, slot, signal));
    }

    private void release(RelayCall call, RequestSlot slot, SignalType signal) {
        if (slot.release()) {
            mLog.log(
                    FleetEvent.PROBE_WITHOUT_RESULT,
                    field("server", slot.server().instance()),
                    field("request", call.head().id()),
                    field("ended_by", signal));
        }
    }

    /** Records a failed call in the health of the server, unless it asked for a pause instead. */
    void recordFailure(RelayCall call, FleetMember server) {
        if (call.wasTurnedAwayBy(server.instance())) {
            server.health().recordInconclusive();
        } else if (server.health().recordFailure(now())) {
            logPaused(call, server, "failed");
        }
    }

    private void logPaused(RelayCall call, FleetMember server, String cause) {
        mLog.log(
                FleetEvent.SERVER_PAUSED,
                field("server", server.instance()),
                field("request", call.head().id()),
                field("cause", cause));
    }

    /** Records that the server began to answer. */
    void recordAnswerBegun(RelayCall call, FleetMember server) {
        if (call.recordAnswerBegun(server.instance())) {
            mPromptFaults.recordAnswer(CallSubject.withoutCalls(call.sharedPromptParts()));
        }
    }

    /**
     * Returns whether a server has ended whose connection ended in order. A process that is killed
     * closes its connections as if its responses were complete.
     */
    Mono<Boolean> hasEnded(FleetMember server) {
        return mRequestSender.hasEnded(server.registered().address());
    }

    /** Records that a server has sent its complete answer, and not that it failed. */
    void recordAnswerComplete(RelayCall call) {
        mPromptFaults.recordAnswer(List.of(call.callSubject()));
    }

    /** Records what may have crashed the server, unless it has announced that it stops. */
    private void recordCrash(
            RelayCall call, FleetMember server, boolean sentAfterCrash, Throwable error) {
        if (!(error instanceof SendFailedException failure)) {
            return;
        }
        if (failure.isConnectionRefused()) {
            mPromptFaults.recordServerEnded(server.startId());
        }
        if (!failure.isConnectionLost()) {
            return;
        }
        List<String> subjects = new ArrayList<>();
        if (!server.leaving()) {
            subjects.add(call.callSubject());
        }
        if (!call.hasAnswerBegun(server.instance())) {
            subjects.addAll(CallSubject.withoutCalls(call.sharedPromptParts()));
        }
        mPromptFaults.recordUnanswered(
                call.head().id(),
                new UnansweredCall(
                        server.startId(),
                        server.registered().failureDomain().name(),
                        call.repeatableId(),
                        subjects,
                        sentAfterCrash));
    }

    /** Returns whether the failed call is retried, and takes the retry out of the budget. */
    boolean tryRetry(RelayCall call, SendFailedException failure) {
        if (call.callerDisconnected() || !call.mayRetryAfter(failure.kind())) {
            return false;
        }
        // The request was not written, so the retry adds no load and needs no budget.
        return failure.kind() == SendFailureKind.UNREACHED || mBudgets.tryReserve(call);
    }

    /** Returns the refusal of a call whose last send failed and is not retried. */
    RefusedException refusal(RelayCall call, SendFailedException failure) {
        if (call.mayHaveRun()) {
            return new RefusedException(
                    Refusal.of(ResultCode.BACKEND_FAILED, String.valueOf(failure.getMessage())));
        }
        return new RefusedException(
                Refusal.retryable(
                        ResultCode.NO_BACKEND_SERVER,
                        String.valueOf(failure.getMessage()),
                        RETRY_AFTER_SEND_FAILURE));
    }

    private <T> Publisher<T> handleResponse(
            RelayCall call,
            FleetMember server,
            long sentNanos,
            HttpClientResponse response,
            Flux<byte[]> chunks,
            BiFunction<HttpClientResponse, Flux<byte[]>, Publisher<T>> onResponse) {
        ResponseOutcome outcome =
                mDialect.classifyResponse(
                        response.status().code(),
                        response.responseHeaders(),
                        call.head().id(),
                        server.instance());
        if (outcome != ResponseOutcome.FOREIGN && outcome != ResponseOutcome.NOT_RUN_OTHER_SERVER) {
            ServerNotice notice =
                    mDialect.parseServerNotice(
                            response.status().code(), response.responseHeaders());
            mNotices.record(server, notice, sentNanos);
            if (notice.pause().isPresent()) {
                call.recordTurnedAway(server.instance());
            }
        }
        return switch (outcome) {
            case SUCCEEDED, FAILED -> onResponse.apply(response, chunks);
            case NOT_RUN_FULL -> {
                if (!call.wasTurnedAwayBy(server.instance())) {
                    server.recordFull(now());
                }
                yield notRun("the server is full");
            }
            case NOT_RUN_ABSENT -> {
                call.target().model().ifPresent(model -> server.recordModelMissing(model, now()));
                yield notRun("the server has not loaded the model");
            }
            case NOT_RUN_OTHER_SERVER -> {
                server.recordReplaced();
                mPromptFaults.recordServerEnded(server.startId());
                yield notRun("another server responded at the address");
            }
            case FOREIGN ->
                    Flux.error(
                            new SendFailedException(
                                    SendFailureKind.UNKNOWN, "response to another request"));
        };
    }

    private static <T> Flux<T> notRun(String message) {
        return Flux.error(new SendFailedException(SendFailureKind.NOT_RUN, message));
    }

    private void recordSendFailure(RelayCall call, FleetMember server, int send, Throwable error) {
        call.recordSendFailed(server.instance(), error);
        if (!(error instanceof SendFailedException failure)) {
            server.health().recordInconclusive();
            if (error instanceof CallerDisconnectedException) {
                mLog.log(RelayEvent.SEND_OMITTED, field("request", call.head().id()));
            }
            return;
        }
        call.triedServers().add(server.instance());
        switch (failure.kind()) {
            case UNREACHED -> {
                if (server.health().recordUnreachable(now())) {
                    logPaused(call, server, "unreachable");
                }
            }
            case NOT_RUN -> server.health().recordInconclusive();
            case UNKNOWN -> {
                call.recordPossibleRun();
                recordFailure(call, server);
            }
        }
        mLog.log(
                RelayEvent.SEND_FAILED,
                field("request", call.head().id()),
                field("fingerprint", call.fingerprint()),
                field("server", server.instance()),
                field("send", send),
                field("outcome", failure.kind()),
                field("connection_lost", failure.isConnectionLost()),
                field("answer_begun", call.hasAnswerBegun(server.instance())),
                field("prompt_parts", String.join(",", call.sharedPromptParts())),
                field("cause", String.valueOf(failure.getMessage())));
    }

    private OutgoingCall outgoingCall(
            RelayCall call, FleetMember server, OptionalLong resumeAfter) {
        return new OutgoingCall(
                call.remainingTime(now()),
                server.instance(),
                call.policy().map(WorkspacePolicy::workspace),
                call.priority(),
                call.target().model().isPresent(),
                resumeAfter);
    }

    private void logServerChosen(RelayCall call, FleetMember server) {
        mLog.log(
                RelayEvent.SERVER_CHOSEN,
                field("request", call.head().id()),
                field("fingerprint", call.fingerprint()),
                field("server", server.instance()),
                field("failure_domain", server.registered().failureDomain().name()),
                field("send", call.sendCount()),
                field("in_use", server.activeCalls()),
                field("orders", server.modelState().orderCount()),
                field("waited_ms", (now() - call.arrivedNanos()) / 1_000_000));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
