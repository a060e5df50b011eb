package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.OptionalLong;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.RequestSlot;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallKind;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;

/** Relays calls whose responses are buffered until they are complete. */
final class BufferedRelay {

    /** Bounded, because a response stays in memory until it is complete. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** A response takes at least this long, so a call is not sent with less time left. */
    private static final Duration MIN_RUN_TIME = Duration.ofMillis(20);

    /** After a third of the time another server is asked, to leave it some. */
    private static final int ATTEMPT_TIME_DIVISOR = 3;

    private final CallSender mSender;
    private final Standbys mStandbys;
    private final BodyMemoryLimit mMemoryLimit;
    private final DecisionLoop mLoop;

    BufferedRelay(
            CallSender sender, Standbys standbys, BodyMemoryLimit memoryLimit, DecisionLoop loop) {
        mSender = sender;
        mStandbys = standbys;
        mMemoryLimit = memoryLimit;
        mLoop = loop;
    }

    /** Returns the response; an at-most-once call continues after its caller disconnects. */
    Mono<BufferedResponse> relay(RelayCall call) {
        Mono<BufferedResponse> response =
                attempt(call)
                        .timeout(call.remainingTime(mLoop.clock().nowNanos()), mLoop.scheduler());
        return call.route().kind() == CallKind.AT_MOST_ONCE ? detached(call, response) : response;
    }

    /** Cancels the call when its caller disconnects, unless a send to a server is in progress. */
    private static Mono<BufferedResponse> detached(
            RelayCall call, Mono<BufferedResponse> response) {
        return Mono.defer(
                () -> {
                    Sinks.One<BufferedResponse> result = Sinks.one();
                    Disposable running =
                            response.subscribe(
                                    value ->
                                            result.emitValue(
                                                    value, Sinks.EmitFailureHandler.FAIL_FAST),
                                    error -> {
                                        if (call.callerDisconnected()) {
                                            call.refundUnlessRun();
                                        }
                                        result.emitError(error, Sinks.EmitFailureHandler.FAIL_FAST);
                                    });
                    return result.asMono()
                            .doOnCancel(
                                    () -> {
                                        call.recordCallerDisconnected();
                                        if (!call.isSendInProgress()) {
                                            running.dispose();
                                        }
                                    });
                });
    }

    private Mono<BufferedResponse> attempt(RelayCall call) {
        return mSender.acquireSlot(call, MIN_RUN_TIME)
                .flatMap(slot -> send(call, slot))
                .onErrorResume(
                        SendFailedException.class,
                        failure ->
                                mSender.tryRetry(call, failure)
                                        ? attempt(call)
                                        : Mono.error(mSender.refusal(call, failure)));
    }

    private Mono<BufferedResponse> send(RelayCall call, RequestSlot slot) {
        if (!call.allowsAnotherRun()) {
            return run(call, slot).next();
        }
        Duration attemptTime =
                call.remainingTime(mLoop.clock().nowNanos()).dividedBy(ATTEMPT_TIME_DIVISOR);
        StandbyRace<BufferedResponse> race =
                new StandbyRace<>(
                        call,
                        mStandbys,
                        attemptTime,
                        // A long run sends nothing until its end, so other calls keep the server.
                        server -> {},
                        (reserved, onWaiting) -> {
                            onWaiting.run();
                            return run(call, reserved);
                        },
                        () -> false,
                        mLoop);
        return race.items(slot).next();
    }

    private Flux<BufferedResponse> run(RelayCall call, RequestSlot slot) {
        FleetMember server = slot.server();
        return mSender.send(
                call,
                slot,
                OptionalLong.empty(),
                (response, chunks) -> bufferResponse(call, server, response, chunks));
    }

    private Mono<BufferedResponse> bufferResponse(
            RelayCall call, FleetMember server, HttpClientResponse response, Flux<byte[]> chunks) {
        int status = response.status().code();
        return mMemoryLimit
                .collect(
                        chunks,
                        MAX_RESPONSE_BYTES,
                        () ->
                                new SendFailedException(
                                        SendFailureKind.UNKNOWN, "the response is too large"))
                .flatMap(body -> failIfServerEnded(server, response, body))
                .flatMap(
                        body -> {
                            mSender.recordAnswerBegun(call, server);
                            boolean failed = status >= 500;
                            if (failed && call.allowsAnotherRun()) {
                                return Mono.error(
                                        new SendFailedException(
                                                SendFailureKind.UNKNOWN, "status " + status));
                            }
                            if (failed) {
                                mSender.recordFailure(call, server);
                            } else {
                                mSender.recordAnswerComplete(call);
                                server.health().recordSuccess(mLoop.clock().nowNanos());
                                mStandbys.recordHeard(server);
                            }
                            call.usage().recordAnswer(server.instance());
                            return Mono.just(
                                    new BufferedResponse(
                                            status,
                                            HopByHopHeaders.endToEnd(response.responseHeaders()),
                                            BodyFraming.of(response.responseHeaders()),
                                            body));
                        });
    }

    /** Fails a response that ended together with its server, if nothing else shows its end. */
    private Mono<byte[]> failIfServerEnded(
            FleetMember server, HttpClientResponse response, byte[] body) {
        if (BodyFraming.of(response.responseHeaders()) != BodyFraming.CONNECTION_END) {
            return Mono.just(body);
        }
        return mSender.hasEnded(server)
                .flatMap(
                        ended ->
                                ended
                                        ? Mono.error(
                                                SendFailedException.connectionLost(
                                                        "the response ended with its server"))
                                        : Mono.just(body));
    }
}
