package org.vanillaslip.internal.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import org.reactivestreams.Publisher;
import org.vanillaslip.internal.http.FinalStatusCheck;
import org.vanillaslip.internal.http.ResponseEndCheck;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.transport.AddressUtils;

/**
 * Sends requests to backend servers, each on a new connection. A pooled connection may be
 * unresponsive, may just be closing, or may deliver a late response to an earlier request.
 */
final class BackendRequestSender {

    /** Servers are a few milliseconds away; one that takes longer is down or unreachable. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** Requests of these methods have no Content-Length if they have no body. */
    private static final Set<HttpMethod> METHODS_WITHOUT_BODY =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE);

    private final HttpClient mClient;
    private final TcpClient mConnectionTest;

    BackendRequestSender(LoopResources eventLoop) {
        mConnectionTest =
                TcpClient.newConnection()
                        .runOn(eventLoop)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        mClient =
                HttpClient.create(ConnectionProvider.newConnection())
                        .runOn(eventLoop)
                        .disableRetry(true)
                        .followRedirect(false)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .doOnChannelInit(
                                (observer, channel, address) -> {
                                    ResponseHeadLimit.add(channel);
                                    FinalStatusCheck.add(channel);
                                    ResponseEndCheck.add(channel);
                                });
    }

    /**
     * Sends the request once; signals {@link SendFailedException} if there is no response.
     *
     * @param permission completes immediately before the first byte is written; its error means
     *     that nothing is sent
     * @param onResponse converts the response head and the body chunks to the result
     */
    <T> Flux<T> send(
            String address,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            Mono<Void> permission,
            BiFunction<HttpClientResponse, Flux<byte[]>, Publisher<T>> onResponse) {
        return Flux.defer(
                () -> {
                    AtomicBoolean sent = new AtomicBoolean();
                    HttpClient.RequestSender sender =
                            mClient.headers(
                                            requestHeaders ->
                                                    writeHeaders(requestHeaders, headers, body))
                                    .request(method)
                                    .uri("http://" + address + uri);
                    Mono<Void> beforeWrite = permission.doOnSuccess(permitted -> sent.set(true));
                    HttpClient.ResponseReceiver<?> receiver =
                            body.length == 0 && METHODS_WITHOUT_BODY.contains(method)
                                    ? sender.send(
                                            (request, outbound) ->
                                                    beforeWrite.then(Mono.defer(outbound::then)))
                                    : sender.send(
                                            beforeWrite.then(
                                                    Mono.fromSupplier(
                                                            () -> Unpooled.wrappedBuffer(body))));
                    return receiver.responseConnection(
                                    (response, connection) -> {
                                        ResponseHeadLimit.remove(connection.channel());
                                        return onResponse.apply(
                                                response,
                                                connection.inbound().receive().asByteArray());
                                    })
                            .onErrorMap(error -> toSendFailure(error, sent.get()));
                });
    }

    /** Returns whether the process at the address has ended, which a refused connection shows. */
    Mono<Boolean> hasEnded(String address) {
        return mConnectionTest
                .remoteAddress(() -> AddressUtils.parseAddress(address, 0, true))
                .connect()
                .doOnNext(Connection::dispose)
                .map(connected -> false)
                .onErrorResume(error -> Mono.just(isConnectionRefused(error)));
    }

    private static void writeHeaders(HttpHeaders requestHeaders, HttpHeaders headers, byte[] body) {
        requestHeaders.remove(HttpHeaderNames.USER_AGENT);
        headers.names().forEach(name -> requestHeaders.set(name, headers.getAll(name)));
        if (body.length > 0) {
            requestHeaders.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
    }

    private static Throwable toSendFailure(Throwable error, boolean sent) {
        if (error instanceof SendFailedException || error instanceof CallerDisconnectedException) {
            return error;
        }
        String message = error.getClass().getSimpleName() + ": " + error.getMessage();
        if (sent && error instanceof IOException) {
            return SendFailedException.connectionLost(message);
        }
        if (!sent && isConnectionRefused(error)) {
            return SendFailedException.connectionRefused(message);
        }
        return new SendFailedException(
                sent ? SendFailureKind.UNKNOWN : SendFailureKind.UNREACHED, message);
    }

    private static boolean isConnectionRefused(Throwable error) {
        return error instanceof ConnectException && !(error instanceof ConnectTimeoutException);
    }
}
