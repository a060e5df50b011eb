package org.vanillaslip.internal.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** HTTP server that serves a single plain-text page, such as readiness or metrics. */
final class TextPageServer {

    /** Status code and body of the page. */
    record Page(int status, String text) {}

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final InetSocketAddress mAddress;
    private final String mPath;
    private final Supplier<Page> mPage;
    private final LoopResources mEventLoop;

    TextPageServer(
            InetSocketAddress address, String path, Supplier<Page> page, LoopResources eventLoop) {
        mAddress = address;
        mPath = path;
        mPage = page;
        mEventLoop = eventLoop;
    }

    Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .runOn(mEventLoop)
                .bindAddress(() -> mAddress)
                .idleTimeout(IDLE_TIMEOUT)
                .handle(
                        (request, response) -> {
                            String path = request.uri().split("\\?", 2)[0];
                            Page page =
                                    path.equals(mPath)
                                            ? mPage.get()
                                            : new Page(404, "unknown path\n");
                            byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
                            return response.status(page.status())
                                    .header("Content-Type", "text/plain; charset=utf-8")
                                    .header("Content-Length", Integer.toString(body.length))
                                    .sendByteArray(Mono.just(body));
                        })
                .bind();
    }
}
