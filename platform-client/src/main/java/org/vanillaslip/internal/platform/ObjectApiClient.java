package org.vanillaslip.internal.platform;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Makes HTTP calls to the object API and classifies their failures. */
public final class ObjectApiClient {

    private static final byte[] NO_BYTES = new byte[0];

    private final HttpClient mClient;
    private final int mMaxAnswerBytes;
    private final Scheduler mTimer;
    private final IntPredicate mNothingChangedStatus;
    private final Consumer<Duration> mThrottleListener;
    private final Consumer<RuntimeException> mUnreadableListener;
    private final StoreEra mEra;

    /**
     * Decodes the body of a response, whose versions are revisions of the era; throws {@link
     * IllegalArgumentException} if the body as a whole cannot be read.
     */
    @FunctionalInterface
    public interface Decoder<T> {

        /**
         * Returns the decoded body.
         *
         * @param transferTime time from the first part of the body to its end
         */
        T decode(byte[] body, long era, Duration transferTime);
    }

    /**
     * Creates an API client on the given HTTP client, which must not retry calls.
     *
     * @param maxAnswerBytes length above which an answer is not read
     * @param eraHeader header of responses that names the era of the store's revisions
     * @param nothingChangedStatus accepts the 5xx statuses that guarantee that nothing was changed
     * @param throttleListener receives the time for which the platform requests no further calls
     * @param unreadableListener receives why an answer as a whole cannot be read
     */
    public ObjectApiClient(
            HttpClient client,
            int maxAnswerBytes,
            Scheduler timer,
            String eraHeader,
            IntPredicate nothingChangedStatus,
            Consumer<Duration> throttleListener,
            Consumer<RuntimeException> unreadableListener) {
        mClient = client;
        mMaxAnswerBytes = maxAnswerBytes;
        mTimer = timer;
        mNothingChangedStatus = nothingChangedStatus;
        mThrottleListener = throttleListener;
        mUnreadableListener = unreadableListener;
        mEra = new StoreEra(eraHeader);
    }

    /** Returns the eras of the store that this client has seen. */
    StoreEra era() {
        return mEra;
    }

    /**
     * Makes a call on subscription and returns its decoded response or the reason of its failure.
     *
     * @param body body of the request, empty for a request without one
     * @param version version that the request names, 0 if none; in a later era of the store, its
     *     revision may belong to another change, so the call fails
     * @param limits times after which the response is considered lost
     */
    public <T> Mono<Either<PlatformFailure, T>> call(
            HttpMethod method,
            String path,
            byte[] body,
            long version,
            AnswerTimeLimits limits,
            Decoder<T> decoder) {
        boolean isWrite = !method.equals(HttpMethod.GET);
        return Mono.defer(
                () -> {
                    if (mEra.hasEnded(version)) {
                        return Mono.just(Either.left(failureInLaterEra(isWrite)));
                    }
                    AtomicBoolean sent = new AtomicBoolean();
                    AtomicReference<HttpClientResponse> head = new AtomicReference<>();
                    Flux<byte[]> parts =
                            mClient.doOnRequest((request, connection) -> sent.set(true))
                                    .headers(
                                            headers ->
                                                    headers.set("Content-Type", "application/json"))
                                    .request(method)
                                    .uri(path)
                                    .send(
                                            body.length == 0
                                                    ? Mono.empty()
                                                    : Mono.fromSupplier(
                                                            () -> Unpooled.wrappedBuffer(body)))
                                    .response(
                                            (response, content) -> {
                                                head.set(response);
                                                return content.asByteArray().startWith(NO_BYTES);
                                            });
                    return AnswerBody.collect(parts, limits, mMaxAnswerBytes, mTimer)
                            .map(
                                    answer ->
                                            toResult(
                                                    Objects.requireNonNull(head.get()),
                                                    answer,
                                                    isWrite,
                                                    version,
                                                    decoder))
                            .onErrorResume(
                                    AnswerBody.AnswerTooLongException.class,
                                    tooLong -> Mono.just(unreadable(tooLong, isWrite)))
                            .onErrorResume(
                                    cause ->
                                            Mono.just(
                                                    Either.left(
                                                            failureWithoutResponse(
                                                                    isWrite && sent.get()))));
                });
    }

    private <T> Either<PlatformFailure, T> toResult(
            HttpClientResponse response,
            AnswerBody.Collected answer,
            boolean isWrite,
            long version,
            Decoder<T> decoder) {
        int status = response.status().code();
        long era = mEra.record(response);
        if (mEra.hasEnded(version)) {
            return Either.left(failureInLaterEra(isWrite));
        }
        if (mEra.isPast(era)) {
            return Either.left(failureWithoutResponse(isWrite));
        }
        if (status >= 200 && status < 300) {
            return decode(answer, era, isWrite, decoder);
        }
        PlatformFailure failure = failureOf(status);
        reportThrottling(response);
        if (status >= 500 && !mNothingChangedStatus.test(status)) {
            // A server error leaves open whether the change took effect.
            throw new PlatformException(
                    failure, "The platform responded with HTTP status " + status + ".");
        }
        return Either.left(failure);
    }

    private <T> Either<PlatformFailure, T> decode(
            AnswerBody.Collected answer, long era, boolean isWrite, Decoder<T> decoder) {
        try {
            return Either.right(decoder.decode(answer.bytes(), era, answer.transferTime()));
        } catch (IllegalArgumentException malformed) {
            return unreadable(malformed, isWrite);
        }
    }

    private <T> Either<PlatformFailure, T> unreadable(RuntimeException fault, boolean isWrite) {
        mUnreadableListener.accept(fault);
        return Either.left(isWrite ? PlatformFailure.OUTCOME_UNKNOWN : PlatformFailure.UNREADABLE);
    }

    /** Passes the Retry-After time of a throttled call to the listener. */
    void reportThrottling(HttpClientResponse response) {
        if (failureOf(response.status().code()) == PlatformFailure.THROTTLED) {
            mThrottleListener.accept(
                    RetryAfter.parse(response.responseHeaders().get("Retry-After")));
        }
    }

    /** Returns the failure that an HTTP status other than 2xx stands for. */
    static PlatformFailure failureOf(int status) {
        return switch (status) {
            case 404 -> PlatformFailure.NOT_FOUND;
            case 409 -> PlatformFailure.CONFLICT;
            case 410 -> PlatformFailure.GONE;
            case 429 -> PlatformFailure.THROTTLED;
            default -> PlatformFailure.UNAVAILABLE;
        };
    }

    private static PlatformFailure failureInLaterEra(boolean isWrite) {
        return isWrite ? PlatformFailure.CONFLICT : PlatformFailure.GONE;
    }

    private static PlatformFailure failureWithoutResponse(boolean mayHaveTakenEffect) {
        return mayHaveTakenEffect ? PlatformFailure.OUTCOME_UNKNOWN : PlatformFailure.UNAVAILABLE;
    }
}
