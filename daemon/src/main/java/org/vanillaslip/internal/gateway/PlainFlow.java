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

/** Requests of plain-service routes. */
final class PlainFlow {

    /** A late response still ends an attempt, so its outcome is waited for beyond the deadline. */
    private static final Duration LATE_ANSWER = Duration.ofSeconds(30);

    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    private final String mFailureDomain;
    private final Supplier<Optional<Configuration>> mConfiguration;
    private final PlacementView mPlacement;
    private final Forwarding mForwarding;
    private final ServiceForwarder mForwarder;
    private final Charging mCharging;
    private final AttemptRunner mAttempts;
    private final DecisionLoop mLoop;

    PlainFlow(
            String failureDomain,
            Supplier<Optional<Configuration>> configuration,
            PlacementView placement,
            Forwarding forwarding,
            ServiceForwarder forwarder,
            Charging charging,
            AttemptRunner attempts,
            DecisionLoop loop) {
        mFailureDomain = failureDomain;
        mConfiguration = configuration;
        mPlacement = placement;
        mForwarding = forwarding;
        mForwarder = forwarder;
        mCharging = charging;
        mAttempts = attempts;
        mLoop = loop;
    }

    Reply handle(CallerRequest request) {
        ServiceCall call =
                new ServiceCall(
                        request.id(),
                        request.method(),
                        request.route().name(),
                        request.filter().query(request.query()),
                        request.filter().headers(request.headers()),
                        request.body());
        String key = request.headers().get(IDEMPOTENCY_KEY);
        if (request.route().repeatable() || key == null) {
            return Reply.whole(
                    charged(request, send(request, call, Duration.ZERO)).map(this::reply));
        }
        String checked =
                AttemptKey.check(key).getOrElseThrow(refusal -> new RefusedException(refusal));
        return Reply.whole(
                mAttempts.run(
                        request,
                        call,
                        checked,
                        charged(request, send(request, call, LATE_ANSWER))));
    }

    private Mono<ServiceResponse> charged(CallerRequest request, Mono<ServiceResponse> work) {
        return mCharging
                .<ServiceResponse>charged(
                        request,
                        TokenEstimate.PLAIN_CALL_TOKENS,
                        usage ->
                                work.doOnNext(done -> usage.used(TokenEstimate.PLAIN_CALL_TOKENS))
                                        .flux())
                .next();
    }

    private Mono<ServiceResponse> send(CallerRequest request, ServiceCall call, Duration extra) {
        return mForwarding
                .run(
                        request,
                        target(request.route()),
                        TokenEstimate.PLAIN_CALL_TOKENS,
                        OptionalLong.empty(),
                        replica ->
                                mForwarder.forward(
                                        replica.server(),
                                        call,
                                        timeout(request).plus(extra),
                                        request.trace()::markSent))
                .next();
    }

    /** A repeatable call leaves time for a second try. */
    private Duration timeout(CallerRequest request) {
        Duration left = request.left(mLoop.clock().nowNanos());
        return request.route().repeatable() ? left.dividedBy(2) : left;
    }

    private WholeReply reply(ServiceResponse response) {
        return WholeReply.of(response.status(), response.contentType(), response.body());
    }

    private Target target(Route route) {
        return new Target(
                "pool " + route.pool(),
                () -> replicas(route),
                wait -> absent(route),
                () -> {},
                configuration -> Optional.empty());
    }

    private Mono<Either<Refusal, Duration>> absent(Route route) {
        return Mono.just(
                Either.left(
                        Refusal.retryable(
                                ResultCode.NO_BACKEND_SERVER,
                                route.pool(),
                                Duration.ofSeconds(1))));
    }

    /** Servers of this failure domain come first; others only serve when it has none in service. */
    private List<Replica> replicas(Route route) {
        List<BackendServer> servers =
                mConfiguration
                        .get()
                        .map(configuration -> inService(configuration, route))
                        .orElse(List.of());
        List<BackendServer> near =
                servers.stream()
                        .filter(server -> server.failureDomain().name().equals(mFailureDomain))
                        .toList();
        return (near.isEmpty() ? servers : near).stream().map(this::replica).toList();
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
