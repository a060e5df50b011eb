package org.vanillaslip.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.BackendKind;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.KeyCheck;
import org.vanillaslip.internal.backend.forward.CompletionEvent;
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

/** HTTP server that accepts requests of callers and forwards them to backend servers. */
public final class Gateway {

    private static final Duration STOPPING_RETRY_AFTER = Duration.ofSeconds(1);

    /** Timeout of idle caller connections. Load balancers open new ones. */
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
    public Gateway(GatewaySettings settings, GatewayDependencies dependencies) {
        mSettings = settings;
        mDependencies = dependencies;
        mLoop = dependencies.loop();
        InFlightRequests inFlight =
                new InFlightRequests(
                        dependencies.placement(), dependencies.configuration()::current);
        mDispatcher =
                new Dispatcher(
                        mLoop,
                        inFlight,
                        dependencies.slots(),
                        settings.queueLimits(),
                        dependencies.random(),
                        dependencies.log());
        mRequestReader = new RequestReader(dependencies.configuration(), settings, mLoop);
        RetryingForwarder retryingForwarder =
                new RetryingForwarder(mLoop, mDispatcher, dependencies.log());
        RequestCharger charger = new RequestCharger(dependencies.quota(), mLoop);
        AttemptRunner attempts =
                new AttemptRunner(
                        dependencies.store(),
                        mLoop,
                        dependencies.identifiers(),
                        dependencies.log());
        mModelHandler =
                new ModelRequestHandler(
                        dependencies.placement(),
                        retryingForwarder,
                        new ModelForwarder(mLoop.scheduler(), mLoop.clock()),
                        charger);
        mPlainServiceHandler =
                new PlainServiceRequestHandler(
                        settings.failureDomain(),
                        dependencies.configuration()::current,
                        dependencies.placement(),
                        retryingForwarder,
                        new ServiceForwarder(mLoop.scheduler(), settings.maxResponseBytes()),
                        charger,
                        attempts,
                        mLoop);
        mShutdown =
                new ShutdownSequence(
                        settings,
                        mLoop,
                        mDispatcher,
                        mRunningRequests,
                        attempts,
                        dependencies.log());
        mStatusPages =
                new StatusPages(settings, dependencies, mShutdown, mRunningRequests, mDispatcher);
    }

    /** Starts to listen. */
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

    /** Returns the address that the started gateway listens on. */
    public InetSocketAddress address() {
        DisposableServer server = mServer;
        if (server == null) {
            throw new IllegalStateException("the gateway was not started");
        }
        return (InetSocketAddress) server.address();
    }

    /** Shuts down gracefully within the shutdown timeout. */
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

    private Mono<Void> handle(HttpServerRequest httpRequest, HttpServerResponse response) {
        String path = httpRequest.uri().split("\\?", 2)[0];
        String id = mDependencies.identifiers().get();
        return mStatusPages
                .page(path)
                .map(page -> page.flatMap(content -> ResponseWriter.write(response, content, id)))
                .orElseGet(() -> serve(httpRequest, response, id));
    }

    private Mono<Void> serve(
            HttpServerRequest httpRequest, HttpServerResponse response, String id) {
        RequestSendState sendState = new RequestSendState();
        RequestMetrics metrics = new RequestMetrics(mDependencies.metrics(), mLoop.clock());
        return Mono.defer(
                        () -> {
                            refuseIfStopping();
                            return mRequestReader.read(httpRequest, id, sendState, metrics);
                        })
                .flatMap(request -> respond(request, response))
                .onErrorResume(
                        error -> {
                            Refusal refusal = refusalOf(error, sendState, metrics, id);
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
        CallerResponse callerResponse =
                request.route().kind() == BackendKind.MODEL_ENGINE
                        ? mModelHandler.handle(request)
                        : mPlainServiceHandler.handle(request);
        Mono<Void> written =
                callerResponse.isStreamed()
                        ? writeStream(request, callerResponse.events(), response)
                        : writeBuffered(request, callerResponse.buffered(), response);
        return written.doOnCancel(() -> onCallerLeft(request));
    }

    private Mono<Void> writeStream(
            CallerRequest request, Flux<CompletionEvent> events, HttpServerResponse response) {
        Flux<CompletionEvent> eventsUntilDeadline =
                trackIfKeyValid(request, events)
                        .timeout(Mono.delay(timeToDeadline(request), mLoop.scheduler()))
                        .doOnComplete(() -> logCompleted(request));
        return ResponseWriter.writeStream(
                response,
                eventsUntilDeadline,
                request.id(),
                error -> refusalOf(error, request.sendState(), request.metrics(), request.id()));
    }

    private Mono<Void> writeBuffered(
            CallerRequest request,
            Mono<BufferedResponse> bufferedResponse,
            HttpServerResponse response) {
        return trackIfKeyValid(
                        request,
                        bufferedResponse
                                .timeout(timeToDeadline(request), mLoop.scheduler())
                                .flatMap(
                                        content ->
                                                ResponseWriter.write(
                                                                response, content, request.id())
                                                        .thenReturn(content))
                                .doOnNext(content -> logCompleted(request))
                                .flux())
                .then();
    }

    private <T> Flux<T> trackIfKeyValid(CallerRequest request, Flux<T> work) {
        return mRunningRequests.track(
                request,
                () -> {
                    // The key may have been revoked since it was checked.
                    boolean valid =
                            mDependencies
                                    .configuration()
                                    .current()
                                    .map(
                                            configuration ->
                                                    KeyCheck.stillValid(
                                                            configuration, request.caller()))
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
                                        entry -> entry.mRequest.id().equals(request.id()),
                                        Refusal.of(ResultCode.NO_BACKEND_SERVER, "caller left")));
        mDependencies.log().log(RequestEvent.CALLER_LEFT, LogField.field("request", request.id()));
    }

    private Duration timeToDeadline(CallerRequest request) {
        return request.timeToDeadline(mLoop.clock().nowNanos());
    }

    private Refusal refusalOf(
            Throwable error, RequestSendState sendState, RequestMetrics metrics, String id) {
        Refusal refusal;
        if (error instanceof RefusedException exception) {
            refusal = sendState.withAccurateCode(exception.refusal());
        } else if (error instanceof ForwardException exception) {
            refusal = sendState.failureRefusal(exception);
        } else if (error instanceof TimeoutException) {
            refusal = sendState.deadlineRefusal();
        } else {
            mDependencies.log().log(
                    RequestEvent.INTERNAL_FAULT,
                    LogField.field("request", id),
                    LogField.field("cause", error.getClass().getName()));
            refusal = Refusal.of(ResultCode.INTERNAL_ERROR, "see the log");
        }
        metrics.recordRefusal(refusal.code());
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
