package org.vanillaslip.internal.backend.forward;

import java.time.Duration;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.http.FinalStatusCheck;
import org.vanillaslip.internal.http.ResponseEndCheck;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Creates HTTP clients for backend servers. Every request uses a new connection: a pooled one may
 * be unresponsive, and the client would resend a request after a pooled connection was closed.
 */
final class BackendClientFactory {

    /** Backend servers are at most a few milliseconds away. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private BackendClientFactory() {}

    static HttpClient create(BackendServer server, Runnable onSent) {
        return HttpClient.create(ConnectionProvider.newConnection())
                .doOnChannelInit(
                        (observer, channel, address) -> {
                            FinalStatusCheck.add(channel);
                            ResponseEndCheck.add(channel);
                        })
                .disableRetry(true)
                .followRedirect(false)
                .option(
                        io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        CONNECT_TIMEOUT_MILLIS)
                .baseUrl("http://" + server.address())
                .doOnRequest((request, connection) -> onSent.run());
    }

    static HttpClient create(BackendServer server, Runnable onSent, Duration timeout) {
        return create(server, onSent).responseTimeout(timeout);
    }
}
