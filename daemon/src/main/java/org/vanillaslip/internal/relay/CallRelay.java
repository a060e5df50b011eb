package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.reactivestreams.Publisher;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.backend.forward.BoundedBody;
import org.vanillaslip.internal.fleet.DemandBook;
import org.vanillaslip.internal.gateway.RefusalWriter;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallKind;
import org.vanillaslip.internal.serving.CallerLimits;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the calls of pass-through routes. */
final class CallRelay {

    /** Other hosts take the call at once. */
    private static final Duration STOPPING_RETRY = Duration.ofMillis(50);

    /** Part of the heap that is left for calls, of 160 MB as deployed; the rest is for all else. */
    private static final long MOST_HELD_BYTES = 32L * 1024 * 1024;

    /** Any time that the event loop sleeps for. */
    private static final Duration CATCH_UP = Duration.ofMillis(1);

    private final ResponseMemoryLimit mMemory = new ResponseMemoryLimit(MOST_HELD_BYTES);
    private final CallAdmission mAdmission;
    private final CallDialect mDialect;
    private final CallSender mSender;
    private final DemandBook mBook;
    private final BufferedRelay mPlain;
    private final RelayMetrics mMeter;
    private final BooleanSupplier mBehind;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final AtomicInteger mActive = new AtomicInteger();
    private final Sinks.Empty<Void> mInterrupted = Sinks.empty();
    private volatile boolean mStopping;
    private volatile boolean mRefusing;

    /**
     * Creates a relay without calls.
     *
     * @param behind whether the event loop stands still, or has done so a short while ago
     */
    CallRelay(
            CallAdmission admission,
            CallDialect dialect,
            CallSender sender,
            DemandBook book,
            RelayMetrics meter,
            BooleanSupplier behind,
            DecisionLoop loop,
            EventLog log) {
        mAdmission = admission;
        mDialect = dialect;
        mSender = sender;
        mBook = book;
        mPlain = new BufferedRelay(sender, mMemory, loop);
        mMeter = meter;
        mBehind = behind;
        mLoop = loop;
        mLog = log;
    }

    /** Returns the number of calls that are not answered yet. */
    int active() {
        return mActive.get();
    }

    /** Asks callers to open their next connection elsewhere. */
    void stopping() {
        mStopping = true;
    }

    /** Refuses new calls on connections that are still open: no time is left to answer them. */
    void refuseNew() {
        mRefusing = true;
    }

    /** Answers the calls that still run, so that no caller is left with a closed connection. */
    void interrupt() {
        mInterrupted.tryEmitEmpty();
    }

    Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return Mono.defer(
                () -> {
                    mActive.incrementAndGet();
                    long arrived = mLoop.clock().nowNanos();
                    HttpHeaders headers = new DefaultHttpHeaders().set(request.requestHeaders());
                    HttpMethod method = request.method();
                    String uri = request.uri();
                    response.keepAlive(!mStopping);
                    return body(request)
                            .flatMap(this::caughtUp)
                            .filter(body -> callerIsThere(response, headers, arrived))
                            .flatMap(body -> serve(method, uri, headers, body, arrived, response))
                            .onErrorResume(error -> refuse(response, headers, error, "", arrived))
                            .doFinally(signal -> mActive.decrementAndGet());
                });
    }

    /**
     * Lets the loop read what came after the call, such as the end of its connection: a host that
     * stood still reads calls whose callers left long ago.
     */
    private Mono<byte[]> caughtUp(byte[] body) {
        if (!mBehind.getAsBoolean()) {
            return Mono.just(body);
        }
        // A timer that has run out while the loop was busy runs before the loop reads; one that is
        // set by it does not.
        return Mono.just(body)
                .delayElement(CATCH_UP, mLoop.scheduler())
                .delayElement(CATCH_UP, mLoop.scheduler());
    }

    private boolean callerIsThere(HttpServerResponse response, HttpHeaders headers, long arrived) {
        AtomicBoolean there = new AtomicBoolean();
        response.withConnection(connection -> there.set(connection.channel().isActive()));
        if (!there.get()) {
            mLog.log(
                    RelayEvent.CALLER_LEFT,
                    field(
                            "request",
                            mDialect.parseRequestHead(headers).fold(x -> "", CallHead::id)),
                    field("server", ""),
                    field("after_ms", millisSince(arrived)));
        }
        return there.get();
    }

    private Mono<byte[]> body(HttpServerRequest request) {
        int largest = largestBody();
        return BoundedBody.collect(
                request.receive().asByteArray(),
                largest,
                () ->
                        new RefusedException(
                                Refusal.of(
                                        ResultCode.BODY_TOO_LARGE,
                                        "at most " + largest + " bytes")));
    }

    private int largestBody() {
        try {
            return mAdmission.plan().limits().maxBodyBytes();
        } catch (RefusedException notReady) {
            return CallerLimits.DEFAULT.maxBodyBytes();
        }
    }

    private Mono<Void> serve(
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            long arrived,
            HttpServerResponse response) {
        if (mRefusing) {
            throw new RefusedException(
                    Refusal.retryable(ResultCode.HOST_STOPPING, "", STOPPING_RETRY));
        }
        RelayCall call = mAdmission.admit(method, uri, headers, body, arrived);
        mBook.arrived(call.target(), call.route().objective());
        Mono<Void> answer =
                call.route().kind() == CallKind.STREAM
                        ? stream(call, response)
                        : plain(call, response);
        return answer.onErrorResume(error -> fail(response, call, error))
                .doOnCancel(() -> callerLeft(call));
    }

    /** Ends with an error when this host can wait no longer for the call. */
    private Mono<Void> interruption(RelayCall call) {
        return mInterrupted
                .asMono()
                .publishOn(mLoop.scheduler())
                .then(Mono.error(() -> interrupted(call)));
    }

    private static RefusedException interrupted(RelayCall call) {
        boolean run = call.hasMaybeRun() || call.sends() > 0;
        ResultCode code = run ? ResultCode.BACKEND_FAILED : ResultCode.HOST_STOPPING;
        return new RefusedException(Refusal.of(code, "this host stops"));
    }

    private Mono<Void> plain(RelayCall call, HttpServerResponse response) {
        return mPlain.run(call)
                .takeUntilOther(interruption(call))
                .flatMap(
                        answer -> {
                            answered(call, answer.status(), 0);
                            return write(response, call.method(), answer);
                        });
    }

    private Mono<Void> stream(RelayCall call, HttpServerResponse response) {
        StreamRelay run = new StreamRelay(call, mSender, mMemory, mLoop, mLog);
        return run.events()
                .takeUntilOther(interruption(call))
                .switchOnFirst(
                        (first, events) ->
                                first.isOnError() ? events.then() : send(response, run, events))
                .then()
                .doOnSuccess(done -> answered(call, run.head().status(), run.firstEventNanos()));
    }

    private static Publisher<Void> send(
            HttpServerResponse response, StreamRelay run, Flux<byte[]> events) {
        ResponseHead head = run.head();
        copy(head.headers(), response.status(head.status()));
        Flux<ByteBuf> buffers = events.map(Unpooled::wrappedBuffer);
        return response.send(buffers, buffer -> true).then();
    }

    private static Mono<Void> write(
            HttpServerResponse response, HttpMethod method, BufferedResponse answer) {
        copy(answer.headers(), response.status(answer.status()));
        if (method.equals(HttpMethod.HEAD)) {
            return response.send().then();
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.body().length));
        return response.sendByteArray(Mono.just(answer.body())).then();
    }

    /** Headers that the server has set already stay: they say where the answer ends. */
    private static void copy(HttpHeaders headers, HttpServerResponse response) {
        headers.forEach(header -> response.addHeader(header.getKey(), header.getValue()));
    }

    private Mono<Void> fail(HttpServerResponse response, RelayCall call, Throwable error) {
        if (!call.hasMaybeRun()) {
            mAdmission.giveBack(call);
        }
        if (response.hasSentHeaders()) {
            mMeter.broken(call.route());
            mLog.log(
                    RelayEvent.STREAM_BROKEN,
                    field("request", call.head().id()),
                    field("route", call.route().name()),
                    field("server", call.server()),
                    field("after_ms", millisSince(call.arrivedNanos())),
                    field("cause", String.valueOf(error.getMessage())));
            // The end of the connection tells the caller that the answer is not complete.
            response.withConnection(connection -> connection.channel().close());
            return Mono.never();
        }
        Throwable cause = error instanceof TimeoutException ? expired(call) : error;
        return refuse(response, call.headers(), cause, call.head().id(), call.arrivedNanos());
    }

    private static RefusedException expired(RelayCall call) {
        boolean run = call.hasMaybeRun() || call.sends() > 0;
        ResultCode code = run ? ResultCode.DEADLINE_EXPIRED : ResultCode.DEADLINE_UNREACHABLE;
        return new RefusedException(Refusal.of(code, call.route().name()));
    }

    private Mono<Void> refuse(
            HttpServerResponse response,
            HttpHeaders headers,
            Throwable error,
            String id,
            long arrived) {
        if (response.hasSentHeaders()) {
            return Mono.error(error);
        }
        Refusal refusal = refusalOf(error, id);
        mMeter.refused(refusal.code());
        mLog.log(
                RelayEvent.CALL_REFUSED,
                field(
                        "request",
                        id.isEmpty()
                                ? mDialect.parseRequestHead(headers).fold(x -> "", CallHead::id)
                                : id),
                field("code", refusal.code().number()),
                field("detail", refusal.detail()),
                field("not_run", refusal.code().notRun()),
                field(
                        "retry_after_ms",
                        refusal.retryAfter().map(wait -> wait.toMillis()).orElse(0L)),
                field("after_ms", millisSince(arrived)));
        byte[] body = RefusalWriter.bytes(refusal, id);
        HttpHeaders answer = new DefaultHttpHeaders();
        answer.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        refusal.retryAfter().ifPresent(wait -> mDialect.setRetryAfter(answer, wait));
        copy(answer, response.status(refusal.code().httpStatus()));
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

    private void answered(RelayCall call, int status, long firstEventNanos) {
        mMeter.answered(call.route(), status, firstEventNanos);
        mLog.log(
                RelayEvent.CALL_ANSWERED,
                field("request", call.head().id()),
                field("route", call.route().name()),
                field("workspace", call.terms().map(terms -> terms.workspace().name()).orElse("")),
                field("model", call.target().model().map(Object::toString).orElse("")),
                field("server", call.server()),
                field("status", status),
                field("sends", call.sends()),
                field("first_event_ms", firstEventNanos / 1_000_000),
                field("after_ms", millisSince(call.arrivedNanos())));
    }

    private void callerLeft(RelayCall call) {
        if (call.sends() == 0) {
            mAdmission.giveBack(call);
        }
        mLog.log(
                RelayEvent.CALLER_LEFT,
                field("request", call.head().id()),
                field("server", call.server()),
                field("after_ms", millisSince(call.arrivedNanos())));
    }

    private long millisSince(long nanos) {
        return (mLoop.clock().nowNanos() - nanos) / 1_000_000;
    }
}
