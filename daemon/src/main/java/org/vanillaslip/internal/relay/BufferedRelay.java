package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallKind;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;

/** Calls whose answers are passed on as a whole. */
final class BufferedRelay {

    /** Answers are held in memory until they are complete. */
    private static final int LARGEST_ANSWER_BYTES = 8 * 1024 * 1024;

    /** An answer takes at least this long, so a call is not sent with less time left. */
    private static final Duration SHORTEST_RUN = Duration.ofMillis(20);

    /** A call that may be repeated leaves time for another server. */
    private static final int PARTS_OF_TIME = 3;

    private final CallSender mSender;
    private final ResponseMemoryLimit mMemory;
    private final DecisionLoop mLoop;

    BufferedRelay(CallSender sender, ResponseMemoryLimit memory, DecisionLoop loop) {
        mSender = sender;
        mMemory = memory;
        mLoop = loop;
    }

    /** Returns the answer; a call that runs at most once goes on when its caller leaves. */
    Mono<BufferedResponse> run(RelayCall call) {
        Mono<BufferedResponse> answer =
                attempt(call).timeout(call.left(mLoop.clock().nowNanos()), mLoop.scheduler());
        return call.route().kind() == CallKind.AT_MOST_ONCE ? detached(call, answer) : answer;
    }

    /** A call that no server has when its caller leaves ends with it. */
    private static Mono<BufferedResponse> detached(RelayCall call, Mono<BufferedResponse> answer) {
        return Mono.defer(
                () -> {
                    Sinks.One<BufferedResponse> result = Sinks.one();
                    Disposable running =
                            answer.subscribe(
                                    whole ->
                                            result.emitValue(
                                                    whole, Sinks.EmitFailureHandler.FAIL_FAST),
                                    error ->
                                            result.emitError(
                                                    error, Sinks.EmitFailureHandler.FAIL_FAST));
                    return result.asMono()
                            .doOnCancel(
                                    () -> {
                                        call.callerLeft();
                                        if (!call.underWay()) {
                                            running.dispose();
                                        }
                                    });
                });
    }

    private Mono<BufferedResponse> attempt(RelayCall call) {
        return mSender.server(call, SHORTEST_RUN)
                .flatMap(member -> send(call, member))
                .onErrorResume(
                        SendFailedException.class,
                        failure ->
                                mSender.mayRepeat(call, failure)
                                        ? attempt(call)
                                        : Mono.error(mSender.refusal(call, failure)));
    }

    private Mono<BufferedResponse> send(RelayCall call, FleetMember member) {
        Flux<BufferedResponse> sent =
                mSender.send(
                        call,
                        member,
                        OptionalLong.empty(),
                        (response, parts) -> whole(call, member, response, parts));
        if (!call.allowsSecondRun()) {
            return sent.next();
        }
        Duration part = call.left(mLoop.clock().nowNanos()).dividedBy(PARTS_OF_TIME);
        return sent.next()
                .timeout(part, mLoop.scheduler())
                .onErrorMap(
                        TimeoutException.class,
                        error -> {
                            call.mayHaveRun();
                            call.tried().add(member.instance());
                            member.health().recordFailure(mLoop.clock().nowNanos());
                            return new SendFailedException(
                                    SendFailureKind.UNKNOWN, "no answer in time");
                        });
    }

    private Mono<BufferedResponse> whole(
            RelayCall call, FleetMember member, HttpClientResponse response, Flux<byte[]> parts) {
        int status = response.status().code();
        return mMemory.collect(
                        parts,
                        LARGEST_ANSWER_BYTES,
                        () ->
                                new SendFailedException(
                                        SendFailureKind.UNKNOWN, "the answer is too large"))
                .flatMap(
                        body -> {
                            boolean failed = status >= 500;
                            if (failed && call.allowsSecondRun()) {
                                return Mono.error(
                                        new SendFailedException(
                                                SendFailureKind.UNKNOWN, "status " + status));
                            }
                            if (failed) {
                                member.health().recordFailure(mLoop.clock().nowNanos());
                            } else {
                                member.health().recordSuccess(mLoop.clock().nowNanos());
                            }
                            return Mono.just(
                                    new BufferedResponse(
                                            status,
                                            HopByHopHeaders.endToEnd(response.responseHeaders()),
                                            body));
                        });
    }
}
