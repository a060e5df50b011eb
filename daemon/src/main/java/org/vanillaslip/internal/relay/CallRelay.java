package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.duty.UsageMeter;
import org.vanillaslip.internal.fleet.DemandReporter;
import org.vanillaslip.internal.gateway.RefusalWriter;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallKind;
import org.vanillaslip.internal.serving.CallerLimits;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles requests for pass-through routes: admits them, relays them and writes the response. */
final class CallRelay {

    /** Short, because other hosts can serve the call immediately. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    /** Heap for responses that are incomplete or not written yet; a host has 160 MB for all. */
    private static final long MAX_RESPONSE_BYTES = 32L * 1024 * 1024;

    /** Heap for the heads and bodies of all calls that are not answered yet. */
    private static final long MAX_REQUEST_BYTES = 42L * 1024 * 1024;

    private final BodyMemoryLimit mMemoryLimit = new BodyMemoryLimit(MAX_RESPONSE_BYTES);
    private final BodyMemoryLimit mRequestMemoryLimit = new BodyMemoryLimit(MAX_REQUEST_BYTES);
    private final CallAdmission mAdmission;
    private final CallDialect mDialect;
    private final CallSender mSender;
    private final DemandReporter mDemandReporter;
    private final Optional<UsageMeter> mUsage;
    private final Standbys mStandbys;
    private final BufferedRelay mBufferedRelay;
    private final RelayMetrics mMetrics;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final AtomicInteger mActiveCalls = new AtomicInteger();
    private final Sinks.Empty<Void> mInterrupted = Sinks.empty();
    private volatile boolean mClosingConnections;
    private volatile boolean mRefusingNewCalls;

    /**
     * Creates a relay.
     *
     * @param usage counts calls; empty if no usage is reported
     */
    CallRelay(
            CallAdmission admission,
            CallDialect dialect,
            CallSender sender,
            DemandReporter demandReporter,
            Optional<UsageMeter> usage,
            RelayMetrics metrics,
            DecisionLoop loop,
            EventLog log) {
        mAdmission = admission;
        mDialect = dialect;
        mSender = sender;
        mDemandReporter = demandReporter;
        mUsage = usage;
        mStandbys = new Standbys(sender, admission::isScaled, loop, log);
        mBufferedRelay =
                new BufferedRelay(
                        sender, new Standbys(sender, pool -> false, loop, log), mMemoryLimit, loop);
        mMetrics = metrics;
        mLoop = loop;
        mLog = log;
    }

    /** Returns the number of calls whose response is not complete or not written yet. */
    int activeCalls() {
        return mActiveCalls.get();
    }

    /** Closes connections after the next response, so that callers reconnect to other hosts. */
    void closeConnectionsAfterResponses() {
        mClosingConnections = true;
    }

    /** Refuses new calls on open connections, because there is no time left to serve them. */
    void refuseNewCalls() {
        mRefusingNewCalls = true;
    }

    /**
     * Responds to active calls with an error, so that callers learn the reason and not only that
     * the connection was closed.
     */
    void interruptActiveCalls() {
        mInterrupted.tryEmitEmpty();
    }

    Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return Mono.defer(
                () -> {
                    OutboundBuffer outbound = OutboundBuffer.of(response);
                    mActiveCalls.incrementAndGet();
                    long arrivedNanos = mLoop.clock().nowNanos();
                    HttpHeaders headers = new DefaultHttpHeaders().set(request.requestHeaders());
                    HttpMethod method = request.method();
                    String uri = request.uri();
                    response.keepAlive(!mClosingConnections);
                    BodyMemoryLimit.Reservation bodyMemory = mRequestMemoryLimit.newReservation();
                    BodyDigest bodyDigest = new BodyDigest();
                    CallerConnection caller = CallerConnection.of(response);
                    return RequestBody.read(request, bodyMemory, maxBodyBytes(), bodyDigest)
                            .filterWhen(body -> isConnected(caller, headers, arrivedNanos))
                            .flatMap(
                                    body ->
                                            serve(
                                                    new ReceivedCall(
                                                            caller,
                                                            method,
                                                            uri,
                                                            headers,
                                                            body,
                                                            bodyDigest.finish(),
                                                            arrivedNanos),
                                                    response))
                            .onErrorResume(
                                    error -> refuse(response, headers, error, "", arrivedNanos))
                            .doFinally(
                                    signal -> {
                                        bodyMemory.release();
                                        outbound.whenWritten(mActiveCalls::decrementAndGet);
                                    });
                });
    }

    /** Drops a call whose caller has disconnected, before it is charged or takes a slot. */
    private Mono<Boolean> isConnected(
            CallerConnection caller, HttpHeaders headers, long arrivedNanos) {
        return caller.checkOpen()
                .doOnNext(
                        open -> {
                            if (!open) {
                                recordCallerLeft(headers, arrivedNanos);
                            }
                        });
    }

    private void recordCallerLeft(HttpHeaders headers, long arrivedNanos) {
        mLog.log(
                RelayEvent.CALLER_LEFT,
                field(
                        "request",
                        mDialect.parseRequestHead(headers).fold(malformed -> "", CallHead::id)),
                field("server", ""),
                field("after_ms", millisSince(arrivedNanos)));
    }

    private int maxBodyBytes() {
        try {
            return mAdmission.plan().limits().maxBodyBytes();
        } catch (RefusedException notReady) {
            return CallerLimits.DEFAULT.maxBodyBytes();
        }
    }

    private Mono<Void> serve(ReceivedCall received, HttpServerResponse response) {
        if (mRefusingNewCalls) {
            throw new RefusedException(
                    Refusal.retryable(ResultCode.HOST_STOPPING, "", STOPPING_RETRY_AFTER));
        }
        RelayCall call = mAdmission.admit(received);
        mSender.recordCall(call);
        mDemandReporter.recordCall(call.target(), call.route().objective());
        mUsage.ifPresent(usage -> countUsage(call, usage));
        Mono<Void> completion =
                call.route().kind() == CallKind.STREAM
                        ? relayStream(call, response)
                        : relayBuffered(call, response);
        return completion
                .onErrorResume(error -> fail(response, call, error))
                .doOnCancel(() -> recordCallerDisconnected(call));
    }

    private static void countUsage(RelayCall call, UsageMeter usage) {
        boolean stream = call.route().kind() == CallKind.STREAM;
        call.policy()
                .ifPresent(policy -> call.setUsage(usage.begin(policy.workspace().name(), stream)));
    }

    /** Signals an error when this host shuts down before the call is complete. */
    private Mono<Void> interruption(RelayCall call) {
        return mInterrupted
                .asMono()
                .publishOn(mLoop.scheduler())
                .then(Mono.error(() -> CallOutcomes.interruptionRefusal(call)));
    }

    private Mono<Void> relayBuffered(RelayCall call, HttpServerResponse response) {
        return mBufferedRelay
                .relay(call)
                .takeUntilOther(interruption(call))
                .flatMap(
                        buffered -> {
                            recordAnswered(call, buffered.status(), buffered.framing(), 0);
                            return sendResponse(response, call.method(), buffered);
                        });
    }

    private Mono<Void> relayStream(RelayCall call, HttpServerResponse response) {
        StreamRelay stream =
                new StreamRelay(
                        call,
                        mSender,
                        mStandbys,
                        mDemandReporter::newStream,
                        mMemoryLimit,
                        mLoop,
                        mLog);
        return stream.events()
                .takeUntilOther(interruption(call))
                .switchOnFirst(
                        (first, events) ->
                                first.isOnError()
                                        ? events.then()
                                        : sendStream(response, stream, events))
                .then()
                .doOnSuccess(
                        done ->
                                recordAnswered(
                                        call,
                                        stream.responseHead().status(),
                                        stream.responseHead().framing(),
                                        stream.firstEventNanos()));
    }

    private static Publisher<Void> sendStream(
            HttpServerResponse response, StreamRelay stream, Flux<byte[]> events) {
        ResponseHead head = stream.responseHead();
        copyHeaders(head.headers(), response.status(head.status()));
        Flux<ByteBuf> buffers = events.map(Unpooled::wrappedBuffer);
        return response.send(buffers, buffer -> true).then();
    }

    private Mono<Void> sendResponse(
            HttpServerResponse response, HttpMethod method, BufferedResponse buffered) {
        copyHeaders(buffered.headers(), response.status(buffered.status()));
        if (method.equals(HttpMethod.HEAD)) {
            return response.send().then();
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(buffered.body().length));
        // A caller that reads slowly keeps the body in memory after the call has been answered.
        BodyMemoryLimit.Reservation unwritten = mMemoryLimit.newReservation();
        unwritten.hold(buffered.body().length);
        OutboundBuffer outbound = OutboundBuffer.of(response);
        return response.sendByteArray(Mono.just(buffered.body()))
                .then()
                .doFinally(signal -> outbound.whenWritten(unwritten::release));
    }

    /** Adds the headers; those already set by the HTTP server, which frame the body, are kept. */
    private static void copyHeaders(HttpHeaders headers, HttpServerResponse response) {
        headers.forEach(header -> response.addHeader(header.getKey(), header.getValue()));
    }

    private Mono<Void> fail(HttpServerResponse response, RelayCall call, Throwable error) {
        // The caller's channel may be found closed before the HTTP server cancels the call.
        if (error instanceof AbortedException || error instanceof CallerDisconnectedException) {
            recordCallerDisconnected(call);
            return Mono.empty();
        }
        call.refundUnlessRun();
        if (response.hasSentHeaders()) {
            mMetrics.recordBroken(call.route());
            mLog.log(
                    RelayEvent.STREAM_BROKEN,
                    field("request", call.head().id()),
                    field("route", call.route().name()),
                    field("server", call.lastServer()),
                    field("after_ms", millisSince(call.arrivedNanos())),
                    field("cause", String.valueOf(error.getMessage())));
            // Closing the connection shows the caller that the response is incomplete.
            response.withConnection(connection -> connection.channel().close());
            return Mono.never();
        }
        Throwable cause =
                error instanceof TimeoutException ? CallOutcomes.deadlineRefusal(call) : error;
        return refuse(
                response,
                call.headers(),
                CallOutcomes.withTrueOutcome(call, cause),
                call.head().id(),
                call.arrivedNanos());
    }

    private Mono<Void> refuse(
            HttpServerResponse response,
            HttpHeaders headers,
            Throwable error,
            String id,
            long arrivedNanos) {
        if (response.hasSentHeaders()) {
            return Mono.error(error);
        }
        if (error instanceof AbortedException) {
            // The caller's connection ended just before the response was written.
            recordCallerLeft(headers, arrivedNanos);
            return Mono.empty();
        }
        Refusal refusal = refusalOf(error, id);
        mMetrics.recordRefused(refusal.code());
        mLog.log(
                RelayEvent.CALL_REFUSED,
                field(
                        "request",
                        id.isEmpty()
                                ? mDialect.parseRequestHead(headers)
                                        .fold(malformed -> "", CallHead::id)
                                : id),
                field("code", refusal.code().number()),
                field("detail", refusal.detail()),
                field("not_run", refusal.code().notRun()),
                field(
                        "retry_after_ms",
                        refusal.retryAfter().map(retryAfter -> retryAfter.toMillis()).orElse(0L)),
                field("after_ms", millisSince(arrivedNanos)));
        byte[] body = RefusalWriter.bytes(refusal, id);
        HttpHeaders responseHeaders = new DefaultHttpHeaders();
        responseHeaders.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        refusal.retryAfter()
                .ifPresent(retryAfter -> mDialect.setRetryAfter(responseHeaders, retryAfter));
        copyHeaders(responseHeaders, response.status(refusal.code().httpStatus()));
        if (refusal.code() == ResultCode.BODY_TOO_LARGE) {
            response.keepAlive(false);
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        return response.sendByteArray(Mono.just(body)).then();
    }

    private Refusal refusalOf(Throwable error, String id) {
        if (error instanceof RefusedException refused) {
            return refused.refusal();
        }
        mLog.log(
                RelayEvent.CALL_FAULT,
                field("request", id),
                field("cause", error.getClass().getName() + ": " + error.getMessage()));
        return Refusal.of(ResultCode.INTERNAL_ERROR, "see the log");
    }

    private void recordAnswered(
            RelayCall call, int status, BodyFraming framing, long firstEventNanos) {
        mMetrics.recordAnswered(call.route(), status, firstEventNanos);
        mLog.log(
                RelayEvent.CALL_ANSWERED,
                field("request", call.head().id()),
                field("route", call.route().name()),
                field(
                        "workspace",
                        call.policy().map(policy -> policy.workspace().name()).orElse("")),
                field("model", call.target().model().map(Object::toString).orElse("")),
                field("server", call.lastServer()),
                field("status", status),
                field("framing", framing),
                field("sends", call.sendCount()),
                field("first_event_ms", firstEventNanos / 1_000_000),
                field("after_ms", millisSince(call.arrivedNanos())));
    }

    private void recordCallerDisconnected(RelayCall call) {
        call.refundUnlessRun();
        mLog.log(
                RelayEvent.CALLER_LEFT,
                field("request", call.head().id()),
                field("server", call.lastServer()),
                field("after_ms", millisSince(call.arrivedNanos())));
    }

    private long millisSince(long nanos) {
        return (mLoop.clock().nowNanos() - nanos) / 1_000_000;
    }
}
