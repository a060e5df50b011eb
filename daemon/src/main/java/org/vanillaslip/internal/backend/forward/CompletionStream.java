package org.vanillaslip.internal.backend.forward;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.platform.LineSplitter;
import org.vanillaslip.internal.stream.AssemblyResult;
import org.vanillaslip.internal.stream.StreamAssembler;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClientResponse;

/** Streams one completion, over several connections if the stream breaks. */
final class CompletionStream {

    /** Consecutive resumptions without a new token before the stream fails. */
    private static final int MAX_RESUMPTIONS_WITHOUT_PROGRESS = 3;

    private static final Duration RESUME_DELAY = Duration.ofMillis(50);
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

    private final BackendServer mServer;
    private final ModelCall mCall;
    private final Runnable mOnSent;
    private final SilenceTimeout mSilenceTimeout;
    private final Scheduler mTimers;
    private final StreamAssembler mAssembler;
    private volatile @Nullable String mIncarnation;
    private volatile boolean mSent;
    private int mResumptions;

    CompletionStream(
            BackendServer server,
            ModelCall call,
            Runnable onSent,
            SilenceTimeout silenceTimeout,
            Scheduler timers) {
        mServer = server;
        mCall = call;
        mOnSent = onSent;
        mSilenceTimeout = silenceTimeout;
        mTimers = timers;
        mAssembler = new StreamAssembler(call.requestId());
    }

    Flux<CompletionEvent> events() {
        return connectAndRead().doOnCancel(this::cancelAtEngine);
    }

    private Flux<CompletionEvent> connectAndRead() {
        LineSplitter splitter = new LineSplitter(MAX_EVENT_BYTES);
        Flux<byte[]> chunks =
                BackendClientFactory.create(mServer, this::markSent)
                        .headers(
                                headers -> {
                                    headers.set("X-Request-Id", mCall.requestId());
                                    headers.set("X-Resume-Offset", mAssembler.nextOffset());
                                    headers.set("Content-Type", "application/json");
                                })
                        .post()
                        .uri("/v1/completions")
                        .send(
                                Mono.fromSupplier(
                                        () ->
                                                Unpooled.wrappedBuffer(
                                                        EngineMessages.completionRequest(mCall))))
                        .responseConnection(this::receive);
        return mSilenceTimeout
                .apply(chunks)
                .concatMapIterable(splitter::split, 1)
                // An accepted token must reach the caller, because the stream resumes after it.
                .concatMapDelayError(this::toEvents, false, 1)
                .takeUntil(CompletionEvent::isLast)
                .concatWith(Flux.defer(this::checkComplete))
                .onErrorResume(this::resumeOrFail);
    }

    private void markSent() {
        mSent = true;
        mOnSent.run();
    }

    private Flux<byte[]> receive(HttpClientResponse response, Connection connection) {
        if (response.status().code() != 200) {
            return Flux.error(
                    failure(ForwardFailureKind.REJECTED, "status " + response.status().code()));
        }
        if (!mCall.requestId().equals(response.responseHeaders().get("X-Request-Id"))) {
            return Flux.error(failure(ForwardFailureKind.MISMATCHED, "request id of the answer"));
        }
        String incarnation = response.responseHeaders().get("X-Incarnation", "");
        String previousIncarnation = mIncarnation;
        if (previousIncarnation != null && !previousIncarnation.equals(incarnation)) {
            return Flux.error(failure(ForwardFailureKind.REJECTED, "server became cold again"));
        }
        mIncarnation = incarnation;
        return connection.inbound().receive().asByteArray();
    }

    private Flux<CompletionEvent> toEvents(byte[] line) {
        return EngineMessages.parseEvent(new String(line, StandardCharsets.UTF_8).stripTrailing())
                .map(this::toEvents)
                .orElseGet(Flux::empty);
    }

    private Flux<CompletionEvent> toEvents(JsonNode event) {
        boolean last = event.hasNonNull("finish_reason");
        String requestId = event.path("request_id").asText();
        long completionTokens = event.path("usage").path("completion_tokens").asLong(-1);
        AssemblyResult result =
                last
                        ? mAssembler.acceptEnd(requestId, completionTokens)
                        : mAssembler.acceptToken(requestId, event.path("offset").asLong(-1));
        return switch (result) {
            case PASS -> {
                mResumptions = 0;
                yield Flux.just(CompletionEvent.token(event.path("token").asText()));
            }
            case COMPLETE ->
                    Flux.just(
                            new CompletionEvent(
                                    "",
                                    event.path("finish_reason").asText(),
                                    event.path("usage").path("prompt_tokens").asLong(),
                                    completionTokens));
            case DUPLICATE -> Flux.empty();
            case GAP -> Flux.error(failure(ForwardFailureKind.BROKEN, "tokens are missing"));
            case MISMATCH ->
                    Flux.error(failure(ForwardFailureKind.MISMATCHED, "event of another request"));
        };
    }

    private Flux<CompletionEvent> checkComplete() {
        return mAssembler.isComplete()
                ? Flux.empty()
                : Flux.error(failure(ForwardFailureKind.BROKEN, "the stream ended early"));
    }

    private Flux<CompletionEvent> resumeOrFail(Throwable error) {
        ForwardException failure = toForwardException(error);
        if (!isResumable(failure) || ++mResumptions > MAX_RESUMPTIONS_WITHOUT_PROGRESS) {
            if (mSent) {
                cancelAtEngine();
            }
            return Flux.error(failure);
        }
        return Mono.delay(RESUME_DELAY, mTimers).thenMany(Flux.defer(this::connectAndRead));
    }

    /** Until the engine has responded, resending the request could run it twice. */
    private boolean isResumable(ForwardException failure) {
        boolean engineAnswered = mIncarnation != null;
        return switch (failure.kind()) {
            case BROKEN, MISMATCHED -> engineAnswered || mCall.repeatable();
            case NOT_SENT -> engineAnswered;
            case REJECTED, TOO_LARGE -> false;
        };
    }

    private ForwardException toForwardException(Throwable error) {
        if (error instanceof ForwardException failure) {
            return failure(failure.kind(), String.valueOf(failure.getMessage()));
        }
        return failure(
                mSent ? ForwardFailureKind.BROKEN : ForwardFailureKind.NOT_SENT,
                error.getClass().getSimpleName());
    }

    private ForwardException failure(ForwardFailureKind kind, String message) {
        return new ForwardException(kind, mAssembler.nextOffset() > 0, message);
    }

    private void cancelAtEngine() {
        if (mSent && !mAssembler.isComplete()) {
            BackendClientFactory.create(mServer, () -> {}, CANCEL_TIMEOUT)
                    .delete()
                    .uri("/v1/requests/" + mCall.requestId())
                    .response()
                    .onErrorComplete()
                    .subscribe();
        }
    }
}
