package org.vanillaslip.internal.backend.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillaslip.BackendServer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClientResponse;

/** Forwards calls to plain services, each sent once on a new connection. */
public final class ServiceForwarder {

    private final Scheduler mTimers;
    private final int mMaxResponseBytes;

    /** Creates a forwarder that rejects responses above the given number of bytes. */
    public ServiceForwarder(Scheduler timers, int maxResponseBytes) {
        mTimers = timers;
        mMaxResponseBytes = maxResponseBytes;
    }

    /**
     * Forwards the call and returns the response, or signals {@link ForwardException}.
     *
     * @param onSent called before the first byte can be written
     */
    public Mono<ServiceResponse> forward(
            BackendServer server, ServiceCall call, Duration timeout, Runnable onSent) {
        return Mono.defer(
                () -> {
                    AtomicBoolean sent = new AtomicBoolean();
                    Runnable markSent =
                            () -> {
                                sent.set(true);
                                onSent.run();
                            };
                    return send(server, call, markSent)
                            .timeout(timeout, mTimers)
                            .onErrorMap(error -> toForwardException(error, sent.get()));
                });
    }

    private Mono<ServiceResponse> send(BackendServer server, ServiceCall call, Runnable onSent) {
        String uri = call.query().isEmpty() ? call.path() : call.path() + "?" + call.query();
        return BackendClientFactory.create(server, onSent)
                .headers(
                        headers -> {
                            call.headers().forEach(headers::set);
                            headers.set("X-Request-Id", call.requestId());
                            headers.set("Content-Length", call.body().length);
                        })
                .request(HttpMethod.valueOf(call.method()))
                .uri(uri)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                .responseConnection(
                        (response, connection) ->
                                readResponse(
                                        call,
                                        response,
                                        connection.inbound().receive().asByteArray()))
                .next();
    }

    private Mono<ServiceResponse> readResponse(
            ServiceCall call, HttpClientResponse response, Flux<byte[]> chunks) {
        String responseRequestId = response.responseHeaders().get("X-Request-Id");
        if (!call.requestId().equals(responseRequestId)) {
            return Mono.error(
                    new ForwardException(
                            ForwardFailureKind.MISMATCHED, false, "answer of another request"));
        }
        String contentType =
                response.responseHeaders().get("Content-Type", "application/octet-stream");
        return BoundedBody.collect(
                        chunks,
                        mMaxResponseBytes,
                        () ->
                                new ForwardException(
                                        ForwardFailureKind.TOO_LARGE, false, "answer too large"))
                .map(body -> new ServiceResponse(response.status().code(), contentType, body));
    }

    private static Throwable toForwardException(Throwable error, boolean sent) {
        if (error instanceof ForwardException) {
            return error;
        }
        ForwardFailureKind kind = sent ? ForwardFailureKind.BROKEN : ForwardFailureKind.NOT_SENT;
        return new ForwardException(kind, false, error.getClass().getSimpleName());
    }
}
