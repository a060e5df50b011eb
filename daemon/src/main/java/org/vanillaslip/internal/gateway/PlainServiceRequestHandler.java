package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Route;
import org.vanillaslip.internal.admission.TokenEstimate;
import org.vanillaslip.internal.attempt.AttemptKey;
import org.vanillaslip.internal.backend.forward.ServiceCall;
import org.vanillaslip.internal.backend.forward.ServiceForwarder;
import org.vanillaslip.internal.backend.forward.ServiceResponse;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Handles requests on plain-service routes. */
final class PlainServiceRequestHandler {

    /**
     * Additional wait after the deadline, because a late response is still an attempt's outcome.
     */
    private static final Duration LATE_RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    private final String mFailureDomain;
    private final Supplier<Optional<Configuration>> mConfiguration;
    private final PlacementView mPlacement;
    private final RetryingForwarder mRetryingForwarder;
    private final ServiceForwarder mForwarder;
    private final RequestCharger mCharger;
    private final AttemptRunner mAttempts;
    private final DecisionLoop mLoop;

    PlainServiceRequestHandler(
            String failureDomain,
            Supplier<Optional<Configuration>> configuration,
            PlacementView placement,
            RetryingForwarder retryingForwarder,
            ServiceForwarder forwarder,
            RequestCharger charger,
            AttemptRunner attempts,
            DecisionLoop loop) {
        mFailureDomain = failureDomain;
        mConfiguration = configuration;
        mPlacement = placement;
        mRetryingForwarder = retryingForwarder;
        mForwarder = forwarder;
        mCharger = charger;
        mAttempts = attempts;
        mLoop = loop;
    }

    CallerResponse handle(CallerRequest request) {
        ServiceCall call =
                new ServiceCall(
                        request.id(),
                        request.method(),
                        request.route().name(),
                        request.credentialFilter().query(request.query()),
                        request.credentialFilter().headers(request.headers()),
                        request.body());
        String key = request.headers().get(IDEMPOTENCY_KEY);
        if (request.route().repeatable() || key == null) {
            return CallerResponse.buffered(
                    runCharged(request, send(request, call, Duration.ZERO))
                            .map(this::bufferedResponse));
        }
        String validKey =
                AttemptKey.check(key).getOrElseThrow(refusal -> new RefusedException(refusal));
        return CallerResponse.buffered(
                mAttempts.run(
                        request,
                        call,
                        validKey,
                        runCharged(request, send(request, call, LATE_RESPONSE_TIMEOUT))));
    }

    private Mono<ServiceResponse> runCharged(CallerRequest request, Mono<ServiceResponse> work) {
        return mCharger.<ServiceResponse>runCharged(
                        request,
                        TokenEstimate.PLAIN_CALL_TOKENS,
                        usage ->
                                work.doOnNext(done -> usage.report(TokenEstimate.PLAIN_CALL_TOKENS))
                                        .flux())
                .next();
    }

    private Mono<ServiceResponse> send(
            CallerRequest request, ServiceCall call, Duration extraTime) {
        return mRetryingForwarder
                .run(
                        request,
                        target(request.route()),
                        TokenEstimate.PLAIN_CALL_TOKENS,
                        OptionalLong.empty(),
                        replica ->
                                mForwarder.forward(
                                        replica.server(),
                                        call,
                                        callTimeout(request).plus(extraTime),
                                        request.sendState()::recordSent))
                .next();
    }

    /** Returns half of the remaining time for a repeatable call, so that it can be retried. */
    private Duration callTimeout(CallerRequest request) {
        Duration timeToDeadline = request.timeToDeadline(mLoop.clock().nowNanos());
        return request.route().repeatable() ? timeToDeadline.dividedBy(2) : timeToDeadline;
    }

    private BufferedResponse bufferedResponse(ServiceResponse response) {
        return BufferedResponse.of(response.status(), response.contentType(), response.body());
    }

    private Target target(Route route) {
        return new Target(
                "pool " + route.pool(),
                () -> replicas(route),
                wait -> noReplica(route),
                () -> {},
                configuration -> Optional.empty());
    }

    private Mono<Either<Refusal, Duration>> noReplica(Route route) {
        return Mono.just(
                Either.left(
                        Refusal.retryable(
                                ResultCode.NO_BACKEND_SERVER,
                                route.pool(),
                                Duration.ofSeconds(1))));
    }

    /** Returns the servers of this failure domain, or all others if it has none in service. */
    private List<Replica> replicas(Route route) {
        List<BackendServer> servers =
                mConfiguration
                        .get()
                        .map(configuration -> inService(configuration, route))
                        .orElse(List.of());
        List<BackendServer> sameDomain =
                servers.stream()
                        .filter(server -> server.failureDomain().name().equals(mFailureDomain))
                        .toList();
        return (sameDomain.isEmpty() ? servers : sameDomain).stream().map(this::replica).toList();
    }

    private static List<BackendServer> inService(Configuration configuration, Route route) {
        return configuration.backendServers().values().stream()
                .filter(server -> server.kind() == BackendKind.PLAIN_SERVICE)
                .filter(server -> server.pool().equals(route.pool()))
                .filter(server -> !configuration.isDrained(server))
                .toList();
    }

    private Replica replica(BackendServer server) {
        String incarnation = mPlacement.load(server.name()).map(ServerLoad::incarnation).orElse("");
        return new Replica(server, incarnation, new ModelName("", Optional.empty()));
    }
}
