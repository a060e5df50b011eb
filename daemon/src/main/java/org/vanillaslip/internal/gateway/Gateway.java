package org.vanillaslip.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.BackendKind;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.KeyCheck;
import org.vanillaslip.internal.backend.forward.EngineEvent;
import org.vanillaslip.internal.backend.forward.ForwardException;
import org.vanillaslip.internal.backend.forward.ModelForwarder;
import org.vanillaslip.internal.backend.forward.ServiceForwarder;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP server for callers. */
public final class Gateway {

    private static final Duration STOPPING_RETRY_AFTER = Duration.ofSeconds(1);

    /** Idle connections of callers are closed; load balancers open new ones. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final GatewaySettings mSettings;
    private final GatewayDependencies mDependencies;
    private final DecisionLoop mLoop;
    private final Dispatcher mDispatcher;
    private final RunningRequests mRunningRequests = new RunningRequests();
    private final RequestReader mRequestReader;
    private final ModelRequestHandler mModelHandler;
    private final PlainServiceRequestHandler mPlainServiceHandler;
    private final ShutdownSequence mShutdown;
    private final StatusPages mStatusPages;
    private final Disposable.Composite mSubscriptions = Disposables.composite();
    private @Nullable DisposableServer mServer;

    /** Creates a gateway that does not listen yet. */
    public Gateway(GatewaySettings settings, GatewayDependencies needs) {
        mSettings = settings;
        mDependencies = needs;
        mLoop = needs.loop();
        InFlightRequests inFlight =
                new InFlightRequests(needs.placement(), needs.configuration()::current);
        mDispatcher =
                new Dispatcher(
                        mLoop,
                        inFlight,
                        needs.slots(),
                        settings.queueLimits(),
                        needs.random(),
                        needs.log());
        mRequestReader = new RequestReader(needs.configuration(), settings, mLoop);
        RetryingForwarder forwarding = new RetryingForwarder(mLoop, mDispatcher, needs.log());
        RequestCharger charging = new RequestCharger(needs.quota(), mLoop);
        AttemptRunner attempts =
                new AttemptRunner(needs.store(), mLoop, needs.identifiers(), needs.log());
        mModelHandler =
                new ModelRequestHandler(
                        needs.placement(),
                        forwarding,
                        new ModelForwarder(mLoop.scheduler(), mLoop.clock()),
                        charging);
        mPlainServiceHandler =
                new PlainServiceRequestHandler(
                        settings.failureDomain(),
                        needs.configuration()::current,
                        needs.placement(),
                        forwarding,
                        new ServiceForwarder(
                                mLoop.scheduler(), settings.maxBufferedResponseBytes()),
                        charging,
                        attempts,
                        mLoop);
        mShutdown =
                new ShutdownSequence(
                        settings, mLoop, mDispatcher, mRunningRequests, attempts, needs.log());
        mStatusPages = new StatusPages(settings, needs, mShutdown, mRunningRequests, mDispatcher);
    }

    /** Begins to listen. */
    public Mono<Void> start() {
        mSubscriptions.add(
                mDependencies
                        .configuration()
                        .changes()
                        .subscribe(
                                configuration -> {
                                    mDispatcher.onConfiguration(configuration);
                                    mRunningRequests.onConfiguration(configuration);
                                }));
        mSubscriptions.add(
                mDependencies.placement().changes().subscribe(model -> mDispatcher.dispatchAll()));
        return HttpServer.create()
                .host(mSettings.host())
                .port(mSettings.port())
                .idleTimeout(IDLE_TIMEOUT)
                .handle(this::handle)
                .bind()
                .doOnNext(server -> mServer = server)
                .then();
    }

    /** Returns the address that callers use, after the start. */
    public InetSocketAddress address() {
        DisposableServer server = mServer;
        if (server == null) {
            throw new IllegalStateException("the gateway was not started");
        }
        return (InetSocketAddress) server.address();
    }

    /** Stops as planned; completes within the shutdown timeout. */
    public Mono<Void> stop() {
        return mShutdown.run().then(Mono.defer(this::close));
    }

    private Mono<Void> close() {
        mSubscriptions.dispose();
        mDispatcher.dispose();
        DisposableServer server = mServer;
        return server == null
                ? Mono.empty()
                : Mono.fromRunnable(server::dispose).then(server.onDispose());
    }

    private Mono<Void> handle(HttpServerRequest http, HttpServerResponse response) {
        String path = http.uri().split("\\?", 2)[0];
        String id = mDependencies.identifiers().get();
        return mStatusPages
                .page(path)
                .map(page -> page.flatMap(reply -> ResponseWriter.write(response, reply, id)))
                .orElseGet(() -> serve(http, response, id));
    }

    private Mono<Void> serve(HttpServerRequest http, HttpServerResponse response, String id) {
        RequestSendState trace = new RequestSendState();
        RequestMetrics meter = new RequestMetrics(mDependencies.metrics(), mLoop.clock());
        return Mono.defer(
                        () -> {
                            refuseIfStopping();
                            return mRequestReader.read(http, id, trace, meter);
                        })
                .flatMap(request -> respond(request, response))
                .onErrorResume(
                        error -> {
                            Refusal refusal = refusalOf(error, trace, meter, id);
                            if (response.hasSentHeaders()) {
                                return Mono.error(error);
                            }
                            return ResponseWriter.write(
                                    response, RefusalWriter.response(refusal, id), id);
                        });
    }

    private void refuseIfStopping() {
        if (mShutdown.isRefusing()) {
            throw new RefusedException(
                    Refusal.retryable(
                            ResultCode.HOST_STOPPING, mSettings.hostName(), STOPPING_RETRY_AFTER));
        }
    }

    private Mono<Void> respond(CallerRequest request, HttpServerResponse response) {
        CallerResponse reply =
                request.route().kind() == BackendKind.MODEL_ENGINE
                        ? mModelHandler.handle(request)
                        : mPlainServiceHandler.handle(request);
        Mono<Void> written =
                reply.isStreamed()
                        ? writeStream(request, reply.events(), response)
                        : writeBuffered(request, reply.buffered(), response);
        return written.doOnCancel(() -> onCallerLeft(request));
    }

    private Mono<Void> writeStream(
            CallerRequest request, Flux<EngineEvent> events, HttpServerResponse response) {
        Flux<EngineEvent> bounded =
                trackIfKeyValid(request, events)
                        .timeout(Mono.delay(timeToDeadline(request), mLoop.scheduler()))
                        .doOnComplete(() -> logCompleted(request));
        return ResponseWriter.stream(
                response,
                bounded,
                request.id(),
                error -> refusalOf(error, request.sendState(), request.metrics(), request.id()));
    }

    private Mono<Void> writeBuffered(
            CallerRequest request, Mono<BufferedResponse> answer, HttpServerResponse response) {
        return trackIfKeyValid(
                        request,
                        answer.timeout(timeToDeadline(request), mLoop.scheduler())
                                .flatMap(
                                        reply ->
                                                ResponseWriter.write(response, reply, request.id())
                                                        .thenReturn(reply))
                                .doOnNext(reply -> logCompleted(request))
                                .flux())
                .then();
    }

    private <T> Flux<T> trackIfKeyValid(CallerRequest request, Flux<T> work) {
        return mRunningRequests.track(
                request,
                () -> {
                    // The key may have been revoked between its check and this registration.
                    boolean valid =
                            mDependencies
                                    .configuration()
                                    .current()
                                    .map(now -> KeyCheck.stillValid(now, request.caller()))
                                    .orElse(false);
                    return valid
                            ? work
                            : Flux.error(
                                    new RefusedException(
                                            Refusal.of(ResultCode.UNKNOWN_KEY, "key")));
                });
    }

    private void onCallerLeft(CallerRequest request) {
        request.sendState().tryForbidSending();
        request.metrics().recordCallerLeft();
        mLoop.scheduler()
                .schedule(
                        () ->
                                mDispatcher.refuseAll(
                                        ticket -> ticket.mRequest.id().equals(request.id()),
                                        Refusal.of(ResultCode.NO_BACKEND_SERVER, "caller left")));
        mDependencies.log().log(RequestEvent.CALLER_LEFT, LogField.field("request", request.id()));
    }

    private Duration timeToDeadline(CallerRequest request) {
        return request.timeToDeadline(mLoop.clock().nowNanos());
    }

    private Refusal refusalOf(
            Throwable error, RequestSendState trace, RequestMetrics meter, String id) {
        Refusal refusal;
        if (error instanceof RefusedException refused) {
            refusal = trace.withAccurateCode(refused.refusal());
        } else if (error instanceof ForwardException failure) {
            refusal = trace.failureRefusal(failure);
        } else if (error instanceof TimeoutException) {
            refusal = trace.deadlineRefusal();
        } else {
            mDependencies.log().log(
                    RequestEvent.INTERNAL_FAULT,
                    LogField.field("request", id),
                    LogField.field("cause", error.getClass().getName()));
            refusal = Refusal.of(ResultCode.INTERNAL_ERROR, "see the log");
        }
        meter.recordRefusal(refusal.code());
        mDependencies.log().log(
                RequestEvent.REQUEST_REFUSED,
                LogField.field("request", id),
                LogField.field("code", refusal.code().number()),
                LogField.field("not_run", refusal.code().notRun()));
        return refusal;
    }

    private void logCompleted(CallerRequest request) {
        request.metrics().recordCompletion();
        mDependencies.log().log(
                RequestEvent.REQUEST_COMPLETED,
                LogField.field("request", request.id()),
                LogField.field("route", request.route().name()),
                LogField.field("workspace", request.caller().accountedWorkspace().name()));
    }
}
