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

/** The HTTP server for callers. */
public final class Gateway {

    private static final Duration STOPPING_RETRY = Duration.ofSeconds(1);

    /** Idle connections of callers are closed; load balancers open new ones. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final GatewaySettings mSettings;
    private final GatewayDependencies mNeeds;
    private final DecisionLoop mLoop;
    private final Dispatcher mDispatcher;
    private final RunningRequests mRunning = new RunningRequests();
    private final RequestReader mReader;
    private final ModelFlow mModelFlow;
    private final PlainFlow mPlainFlow;
    private final StopSequence mStop;
    private final StatusPages mPages;
    private final Disposable.Composite mSubscriptions = Disposables.composite();
    private @Nullable DisposableServer mServer;

    /** Creates a gateway that does not listen yet. */
    public Gateway(GatewaySettings settings, GatewayDependencies needs) {
        mSettings = settings;
        mNeeds = needs;
        mLoop = needs.loop();
        InFlight inFlight = new InFlight(needs.placement(), needs.configuration()::current);
        mDispatcher =
                new Dispatcher(
                        mLoop,
                        inFlight,
                        needs.slots(),
                        settings.queueLimits(),
                        needs.random(),
                        needs.log());
        mReader = new RequestReader(needs.configuration(), settings, mLoop);
        Forwarding forwarding = new Forwarding(mLoop, mDispatcher, needs.log());
        Charging charging = new Charging(needs.quota(), mLoop);
        AttemptRunner attempts =
                new AttemptRunner(needs.store(), mLoop, needs.identifiers(), needs.log());
        mModelFlow =
                new ModelFlow(
                        needs.placement(),
                        forwarding,
                        new ModelForwarder(mLoop.scheduler(), mLoop.clock()),
                        charging);
        mPlainFlow =
                new PlainFlow(
                        settings.failureDomain(),
                        needs.configuration()::current,
                        needs.placement(),
                        forwarding,
                        new ServiceForwarder(mLoop.scheduler(), settings.largestAnswer()),
                        charging,
                        attempts,
                        mLoop);
        mStop = new StopSequence(settings, mLoop, mDispatcher, mRunning, attempts, needs.log());
        mPages = new StatusPages(settings, needs, mStop, mRunning, mDispatcher);
    }

    /** Begins to listen. */
    public Mono<Void> start() {
        mSubscriptions.add(
                mNeeds.configuration()
                        .changes()
                        .subscribe(
                                configuration -> {
                                    mDispatcher.onConfiguration(configuration);
                                    mRunning.onConfiguration(configuration);
                                }));
        mSubscriptions.add(mNeeds.placement().changes().subscribe(model -> mDispatcher.pumpAll()));
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
        return mStop.run().then(Mono.defer(this::close));
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
        String id = mNeeds.identifiers().get();
        return mPages.page(path)
                .map(page -> page.flatMap(reply -> ReplyWriter.write(response, reply, id)))
                .orElseGet(() -> serve(http, response, id));
    }

    private Mono<Void> serve(HttpServerRequest http, HttpServerResponse response, String id) {
        RequestTrace trace = new RequestTrace();
        RequestMeter meter = new RequestMeter(mNeeds.metrics(), mLoop.clock());
        return Mono.defer(
                        () -> {
                            refuseIfStopping();
                            return mReader.read(http, id, trace, meter);
                        })
                .flatMap(request -> answer(request, response))
                .onErrorResume(
                        error -> {
                            Refusal refusal = refusalOf(error, trace, meter, id);
                            if (response.hasSentHeaders()) {
                                return Mono.error(error);
                            }
                            return ReplyWriter.write(
                                    response, RefusalWriter.reply(refusal, id), id);
                        });
    }

    private void refuseIfStopping() {
        if (mStop.refusing()) {
            throw new RefusedException(
                    Refusal.retryable(
                            ResultCode.HOST_STOPPING, mSettings.hostName(), STOPPING_RETRY));
        }
    }

    private Mono<Void> answer(CallerRequest request, HttpServerResponse response) {
        Reply reply =
                request.route().kind() == BackendKind.MODEL_ENGINE
                        ? mModelFlow.handle(request)
                        : mPlainFlow.handle(request);
        Mono<Void> written =
                reply.streamed()
                        ? stream(request, reply.stream(), response)
                        : whole(request, reply.whole(), response);
        return written.doOnCancel(() -> onCallerLeft(request));
    }

    private Mono<Void> stream(
            CallerRequest request, Flux<CompletionEvent> events, HttpServerResponse response) {
        Flux<CompletionEvent> bounded =
                tracked(request, events)
                        .timeout(Mono.delay(left(request), mLoop.scheduler()))
                        .doOnComplete(() -> logCompleted(request));
        return ReplyWriter.stream(
                response,
                bounded,
                request.id(),
                error -> refusalOf(error, request.trace(), request.meter(), request.id()));
    }

    private Mono<Void> whole(
            CallerRequest request, Mono<WholeReply> answer, HttpServerResponse response) {
        return tracked(
                        request,
                        answer.timeout(left(request), mLoop.scheduler())
                                .flatMap(
                                        reply ->
                                                ReplyWriter.write(response, reply, request.id())
                                                        .thenReturn(reply))
                                .doOnNext(reply -> logCompleted(request))
                                .flux())
                .then();
    }

    private <T> Flux<T> tracked(CallerRequest request, Flux<T> work) {
        return mRunning.track(
                request,
                () -> {
                    // The key may have been revoked between its check and this registration.
                    boolean valid =
                            mNeeds.configuration()
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
        request.trace().closeAsNotRun();
        request.meter().callerLeft();
        mLoop.scheduler()
                .schedule(
                        () ->
                                mDispatcher.refuseAll(
                                        ticket -> ticket.mRequest.id().equals(request.id()),
                                        Refusal.of(ResultCode.NO_BACKEND_SERVER, "caller left")));
        mNeeds.log().log(RequestEvent.CALLER_LEFT, LogField.field("request", request.id()));
    }

    private Duration left(CallerRequest request) {
        return request.left(mLoop.clock().nowNanos());
    }

    private Refusal refusalOf(Throwable error, RequestTrace trace, RequestMeter meter, String id) {
        Refusal refusal;
        if (error instanceof RefusedException refused) {
            refusal = trace.truthful(refused.refusal());
        } else if (error instanceof ForwardException failure) {
            refusal = trace.failed(failure);
        } else if (error instanceof TimeoutException) {
            refusal = trace.deadlinePassed();
        } else {
            mNeeds.log().log(
                    RequestEvent.INTERNAL_FAULT,
                    LogField.field("request", id),
                    LogField.field("cause", error.getClass().getName()));
            refusal = Refusal.of(ResultCode.INTERNAL_ERROR, "see the log");
        }
        meter.refused(refusal.code());
        mNeeds.log().log(
                RequestEvent.REQUEST_REFUSED,
                LogField.field("request", id),
                LogField.field("code", refusal.code().number()),
                LogField.field("not_run", refusal.code().notRun()));
        return refusal;
    }

    private void logCompleted(CallerRequest request) {
        request.meter().completed();
        mNeeds.log().log(
                RequestEvent.REQUEST_COMPLETED,
                LogField.field("request", request.id()),
                LogField.field("route", request.route().name()),
                LogField.field("workspace", request.caller().accountedWorkspace().name()));
    }
}
