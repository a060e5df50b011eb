package org.vanillaslip.internal.standins.engine;

import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles one kind of request with the given faults. */
@FunctionalInterface
interface EngineRequestHandler {

    Mono<Void> handle(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults);
}
