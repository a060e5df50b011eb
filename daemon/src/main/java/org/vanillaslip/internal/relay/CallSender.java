package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.ServerSelector;
import org.vanillaslip.internal.fleet.WaitingRoom;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.routing.RetryBudget;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.WorkspacePolicy;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClientResponse;

/** Finds servers for calls, sends to them, and decides whether a failed send is repeated. */
final class CallSender {

    private static final Duration RETRY_LATER = Duration.ofMillis(500);

    private final BackendRequestSender mBackend;
    private final CallDialect mDialect;
    private final WaitingRoom mRoom;
    private final ServerSelector mSelector;
    private final Supplier<RetryBudget> mBudgets;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<String, RetryBudget> mBudgetByPool = new HashMap<>();

    CallSender(
            BackendRequestSender backend,
            CallDialect dialect,
            WaitingRoom room,
            ServerSelector selector,
            Supplier<RetryBudget> budgets,
            DecisionLoop loop,
            EventLog log) {
        mBackend = backend;
        mDialect = dialect;
        mRoom = room;
        mSelector = selector;
        mBudgets = budgets;
        mLoop = loop;
        mLog = log;
    }

    /** Waits for a server with a place for the call, which is reserved for the caller. */
    Mono<FleetMember> server(RelayCall call, Duration shortestRun) {
        return Mono.defer(
                () -> {
                    if (mSelector.holders(call.target()).stream()
                            .allMatch(member -> call.tried().contains(member.instance()))) {
                        call.tried().clear();
                    }
                    return mRoom.enter(call.wish(), call.bounds(shortestRun));
                });
    }

    /**
     * Sends the call to the server and gives its place back at the end.
     *
     * @param resumeAfter last event that the caller has already
     */
    <T> Flux<T> send(
            RelayCall call,
            FleetMember member,
            OptionalLong resumeAfter,
            BiFunction<HttpClientResponse, Flux<byte[]>, Publisher<T>> onAnswer) {
        return Flux.defer(
                        () -> {
                            call.sending(member.instance());
                            if (call.sends() == 1) {
                                budget(call).recordRequest(now());
                            }
                            logChosen(call, member);
                            HttpHeaders headers =
                                    mDialect.backendRequestHeaders(
                                            call.headers(),
                                            call.head(),
                                            outgoing(call, member, resumeAfter));
                            return mBackend.<T>send(
                                            member.registered().address(),
                                            call.method(),
                                            call.uri(),
                                            headers,
                                            call.body(),
                                            (response, parts) ->
                                                    judged(call, member, response, parts, onAnswer))
                                    .doOnError(error -> failed(call, member, error));
                        })
                .doFinally(signal -> member.end(call.target().model()));
    }

    /** Returns whether the failed call is sent once more, and takes that out of the budget. */
    boolean mayRepeat(RelayCall call, SendFailedException failure) {
        if (call.callerHasLeft() || !call.maySendAgain(failure.kind())) {
            return false;
        }
        // Nothing has arrived anywhere, so no server bears a repeat.
        return failure.kind() == SendFailureKind.UNREACHED || budget(call).tryAcquire(now());
    }

    /** Returns the refusal of a call whose last send failed. */
    RefusedException refusal(RelayCall call, SendFailedException failure) {
        if (call.hasMaybeRun()) {
            return new RefusedException(
                    Refusal.of(ResultCode.BACKEND_FAILED, String.valueOf(failure.getMessage())));
        }
        return new RefusedException(
                Refusal.retryable(
                        ResultCode.NO_BACKEND_SERVER,
                        String.valueOf(failure.getMessage()),
                        RETRY_LATER));
    }

    private <T> Publisher<T> judged(
            RelayCall call,
            FleetMember member,
            HttpClientResponse response,
            Flux<byte[]> parts,
            BiFunction<HttpClientResponse, Flux<byte[]>, Publisher<T>> onAnswer) {
        ResponseOutcome verdict =
                mDialect.classifyResponse(
                        response.status().code(),
                        response.responseHeaders(),
                        call.head().id(),
                        member.instance());
        return switch (verdict) {
            case SUCCEEDED, FAILED -> onAnswer.apply(response, parts);
            case NOT_RUN_FULL -> {
                member.full(now());
                yield notRun("the server is full");
            }
            case NOT_RUN_ABSENT -> {
                call.target().model().ifPresent(model -> member.deny(model, now()));
                yield notRun("the server does not hold the model");
            }
            case NOT_RUN_OTHER_SERVER -> {
                member.replaced();
                yield notRun("another server answers at the address");
            }
            case FOREIGN ->
                    Flux.error(
                            new SendFailedException(
                                    SendFailureKind.UNKNOWN, "answer of another request"));
        };
    }

    private static <T> Flux<T> notRun(String message) {
        return Flux.error(new SendFailedException(SendFailureKind.NOT_RUN, message));
    }

    private void failed(RelayCall call, FleetMember member, Throwable error) {
        call.sendEnded();
        if (!(error instanceof SendFailedException failure)) {
            member.health().recordInconclusive();
            return;
        }
        call.tried().add(member.instance());
        switch (failure.kind()) {
            case UNREACHED -> member.health().recordUnreachable(now());
            case NOT_RUN -> member.health().recordInconclusive();
            case UNKNOWN -> {
                call.mayHaveRun();
                member.health().recordFailure(now());
            }
        }
        mLog.log(
                RelayEvent.SEND_FAILED,
                field("request", call.head().id()),
                field("server", member.instance()),
                field("send", call.sends()),
                field("outcome", failure.kind()),
                field("cause", String.valueOf(failure.getMessage())));
    }

    private OutgoingCall outgoing(RelayCall call, FleetMember member, OptionalLong resumeAfter) {
        return new OutgoingCall(
                call.left(now()),
                member.instance(),
                call.terms().map(WorkspacePolicy::workspace),
                call.priority(),
                call.target().model().isPresent(),
                resumeAfter);
    }

    private void logChosen(RelayCall call, FleetMember member) {
        mLog.log(
                RelayEvent.SERVER_CHOSEN,
                field("request", call.head().id()),
                field("server", member.instance()),
                field("failure_domain", member.registered().failureDomain().name()),
                field("send", call.sends()),
                field("in_use", member.inUse()),
                field("orders", member.stock().orderCount()),
                field("waited_ms", (now() - call.arrivedNanos()) / 1_000_000));
    }

    private RetryBudget budget(RelayCall call) {
        return mBudgetByPool.computeIfAbsent(call.target().pool(), pool -> mBudgets.get());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
