package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.http.FinalStatusCheck;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Accesses the platform's object API over HTTP. */
public final class HttpObjectStore implements ObjectStore {

    private static final String API_PATH = "/apis/vanillaslip.org/v1/";

    private static final String ERA_HEADER = "X-Store-Era";

    /** The platform limits values to 1 MB; JSON escapes make an event longer than its value. */
    private static final int MAX_EVENT_BYTES = 2 << 20;

    /** A list is one answer; the configuration of the largest deployment has a few megabytes. */
    private static final int MAX_LIST_BYTES = 32 << 20;

    private final HttpClient mClient;
    private final ObjectJsonCodec mJson;
    private final Duration mResponseTimeout;
    private final AnswerTimeLimits mWhole;
    private final Scheduler mTimer;
    private final ObjectApiClient mApi;

    /** Creates a store without listeners. */
    public HttpObjectStore(
            HttpClient client,
            String baseUrl,
            String failureDomain,
            ObjectJsonCodec json,
            Duration responseTimeout,
            Scheduler timer) {
        this(
                client,
                baseUrl,
                failureDomain,
                json,
                responseTimeout,
                timer,
                retryAfter -> {},
                fault -> {});
    }

    /**
     * Creates a store.
     *
     * @param client HTTP client whose connection pool is used
     * @param baseUrl {@code http://ip:port} of the platform
     * @param failureDomain failure domain of this host, sent in a header of each call
     * @param responseTimeout time after which the response to a call is considered lost
     * @param timer scheduler for the timeouts of calls and watches
     * @param throttleListener receives the time for which the platform requests no further calls
     * @param unreadableListener receives why an answer as a whole cannot be read
     */
    public HttpObjectStore(
            HttpClient client,
            String baseUrl,
            String failureDomain,
            ObjectJsonCodec json,
            Duration responseTimeout,
            Scheduler timer,
            Consumer<Duration> throttleListener,
            Consumer<RuntimeException> unreadableListener) {
        // The HTTP client must not retry: only the caller knows whether a call may be repeated.
        mClient =
                FinalStatusCheck.addTo(client)
                        .baseUrl(baseUrl)
                        .disableRetry(true)
                        .headers(headers -> headers.set("X-Failure-Domain", failureDomain));
        mJson = json;
        mResponseTimeout = responseTimeout;
        mWhole = AnswerTimeLimits.ofWhole(responseTimeout);
        mTimer = timer;
        mApi =
                new ObjectApiClient(
                        mClient,
                        MAX_LIST_BYTES,
                        timer,
                        ERA_HEADER,
                        status -> false,
                        throttleListener,
                        unreadableListener);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return call(
                HttpMethod.GET, path(collection, name), null, 0, mWhole, objectDecoder(collection));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return call(
                HttpMethod.GET,
                API_PATH + collection,
                null,
                0,
                AnswerTimeLimits.ofSilence(mResponseTimeout, mResponseTimeout),
                (response, era, time) -> mJson.decodeList(collection, response).inEra(era));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        ObjectNode body = mJson.encode(new StoredObject(collection, name, 0, spec));
        return call(
                HttpMethod.POST, API_PATH + collection, body, 0, mWhole, objectDecoder(collection));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        ObjectNode body = mJson.encode(withRevision(collection, name, expectedVersion, spec));
        return call(
                HttpMethod.PUT,
                path(collection, name),
                body,
                expectedVersion,
                mWhole,
                objectDecoder(collection));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        ObjectNode body = mJson.encode(withRevision(collection, name, expectedVersion, spec));
        return call(
                HttpMethod.DELETE,
                path(collection, name),
                body,
                expectedVersion,
                mWhole,
                objectDecoder(collection));
    }

    private static StoredObject withRevision(
            String collection, String name, long version, ObjectNode spec) {
        return new StoredObject(collection, name, StoreVersion.revision(version), spec);
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        AtomicLong era = new AtomicLong();
        Flux<byte[]> chunks =
                mClient.get()
                        .uri(
                                API_PATH
                                        + collection
                                        + "?watch=true&resourceVersion="
                                        + StoreVersion.revision(fromVersion))
                        .response(
                                (response, content) -> {
                                    era.set(mApi.era().record(response));
                                    if (mApi.era().hasEnded(fromVersion)) {
                                        return Flux.error(positionGone(collection));
                                    }
                                    return response.status().code() == 200
                                            ? content.asByteArray()
                                            : Flux.error(watchRejected(collection, response));
                                });
        // A long event on a slow link arrives in many chunks.
        Flux<byte[]> live = WatchIdleTimeout.apply(chunks, mTimer);
        return Flux.defer(() -> live.concatMapIterable(newSplitter()::split))
                .map(line -> mJson.decodeEvent(collection, line).inEra(era.get()))
                .onErrorMap(
                        IllegalArgumentException.class,
                        cause -> watchFailed(collection, PlatformFailure.UNREADABLE, cause))
                .onErrorMap(
                        cause -> !(cause instanceof PlatformException),
                        cause -> watchFailed(collection, PlatformFailure.UNAVAILABLE, cause));
    }

    private static LineSplitter newSplitter() {
        return new LineSplitter(MAX_EVENT_BYTES);
    }

    private <T> Mono<Either<PlatformFailure, T>> call(
            HttpMethod method,
            String path,
            @Nullable ObjectNode body,
            long version,
            AnswerTimeLimits limits,
            ObjectApiClient.Decoder<T> decoder) {
        byte[] bytes = body == null ? new byte[0] : mJson.toBytes(body);
        return mApi.call(method, path, bytes, version, limits, decoder);
    }

    private ObjectApiClient.Decoder<StoredObject> objectDecoder(String collection) {
        return (response, era, time) -> mJson.decodeObject(collection, response).inEra(era);
    }

    private static PlatformException positionGone(String collection) {
        return new PlatformException(
                PlatformFailure.GONE,
                "The store was restored; '" + collection + "' has to be listed again.");
    }

    private PlatformException watchRejected(String collection, HttpClientResponse response) {
        mApi.reportThrottling(response);
        int status = response.status().code();
        return new PlatformException(
                ObjectApiClient.failureOf(status),
                "The platform rejected the watch of '"
                        + collection
                        + "' with HTTP status "
                        + status
                        + ".");
    }

    private static PlatformException watchFailed(
            String collection, PlatformFailure failure, Throwable cause) {
        PlatformException exception =
                new PlatformException(
                        failure, "The watch of '" + collection + "' failed: " + cause.getMessage());
        exception.initCause(cause);
        return exception;
    }

    private static String path(String collection, String name) {
        String encoded = URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
        return API_PATH + collection + "/" + encoded;
    }
}
