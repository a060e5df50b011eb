package org.vanillaslip.internal.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Function;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server for plain-text pages, such as readiness or metrics. */
final class TextPageServer {

    /** What a request asks for; its query is decoded by the page. */
    record PageRequest(String method, String query) {}

    /** Status code and body of the page. */
    record Page(int status, String text) {}

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final InetSocketAddress mAddress;
    private final Map<String, Function<PageRequest, Mono<Page>>> mPages;
    private final LoopResources mEventLoop;

    /** Creates a server that is not started and has a page at each of the paths. */
    TextPageServer(
            InetSocketAddress address,
            Map<String, Function<PageRequest, Mono<Page>>> pages,
            LoopResources eventLoop) {
        mAddress = address;
        mPages = Map.copyOf(pages);
        mEventLoop = eventLoop;
    }

    Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .runOn(mEventLoop)
                .bindAddress(() -> mAddress)
                .idleTimeout(IDLE_TIMEOUT)
                .handle(
                        (request, response) ->
                                page(request.method().name(), request.uri())
                                        .flatMap(page -> send(page, response)))
                .bind();
    }

    private static Mono<Void> send(Page page, HttpServerResponse response) {
        byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
        return response.status(page.status())
                .header("Content-Type", "text/plain; charset=utf-8")
                .header("Content-Length", Integer.toString(body.length))
                .sendByteArray(Mono.just(body))
                .then();
    }

    private Mono<Page> page(String method, String uri) {
        String[] pathAndQuery = uri.split("\\?", 2);
        Function<PageRequest, Mono<Page>> page = mPages.get(pathAndQuery[0]);
        return page == null
                ? Mono.just(new Page(404, "unknown path\n"))
                : page.apply(
                        new PageRequest(method, pathAndQuery.length > 1 ? pathAndQuery[1] : ""));
    }
}
