package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Route;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.admission.CredentialFilter;
import org.vanillaslip.internal.admission.DeadlineHeader;
import org.vanillaslip.internal.admission.KeyCheck;
import org.vanillaslip.internal.backend.forward.BoundedBody;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads, routes and authenticates HTTP requests. */
final class RequestReader {

    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    private final ConfigurationView mConfiguration;
    private final GatewaySettings mSettings;
    private final DecisionLoop mLoop;

    RequestReader(ConfigurationView configuration, GatewaySettings settings, DecisionLoop loop) {
        mConfiguration = configuration;
        mSettings = settings;
        mLoop = loop;
    }

    /** Reads the request, or fails with {@link RefusedException}. */
    Mono<CallerRequest> read(
            HttpServerRequest httpRequest,
            String id,
            RequestSendState sendState,
            RequestMetrics metrics) {
        Configuration configuration =
                mConfiguration
                        .current()
                        .orElseThrow(
                                () ->
                                        new RefusedException(
                                                Refusal.retryable(
                                                        ResultCode.NOT_READY,
                                                        mSettings.hostName(),
                                                        NOT_READY_RETRY_AFTER)));
        Map<String, String> headers = joinedHeaders(httpRequest);
        String uri = httpRequest.uri();
        int queryMark = uri.indexOf('?');
        String path = queryMark < 0 ? uri : uri.substring(0, queryMark);
        Route route = configuration.routes().get(path);
        if (route == null) {
            throw new RefusedException(Refusal.of(ResultCode.UNKNOWN_ROUTE, "path"));
        }
        metrics.recordRequestClass(route.requestClass());
        Optional<String> key = KeyCheck.presentedKey(headers);
        Caller caller = getOrRefuse(KeyCheck.check(configuration, route, key));
        checkConfigurationAge(route);
        Duration deadline =
                getOrRefuse(
                        DeadlineHeader.parse(
                                Optional.ofNullable(headers.get(DeadlineHeader.NAME)),
                                route.deadline()));
        checkBodyHeaders(headers);
        CredentialFilter credentialFilter = new CredentialFilter(key);
        long deadlineNanos = mLoop.clock().nowNanos() + deadline.toNanos();
        return collectBody(httpRequest)
                .timeout(deadline, mLoop.scheduler())
                .map(
                        body ->
                                new CallerRequest(
                                        id,
                                        httpRequest.method().name(),
                                        queryMark < 0 ? "" : uri.substring(queryMark + 1),
                                        headers,
                                        BodyFilter.filter(
                                                body,
                                                headers.getOrDefault("content-type", ""),
                                                credentialFilter),
                                        configuration,
                                        route,
                                        caller,
                                        credentialFilter,
                                        deadlineNanos,
                                        sendState,
                                        metrics));
    }

    private void checkConfigurationAge(Route route) {
        Duration maxAge = mSettings.maximumConfigurationAge();
        if (!route.open() && !maxAge.isZero() && mConfiguration.age().compareTo(maxAge) > 0) {
            throw new RefusedException(
                    Refusal.retryable(
                            ResultCode.CONFIGURATION_TOO_OLD,
                            mSettings.hostName(),
                            NOT_READY_RETRY_AFTER));
        }
    }

    private void checkBodyHeaders(Map<String, String> headers) {
        // The key cannot be found in a compressed body.
        if (!headers.getOrDefault("content-encoding", "identity").equals("identity")) {
            throw new RefusedException(
                    Refusal.of(ResultCode.MALFORMED_BODY, "content-encoding is not supported"));
        }
        String contentLength = headers.getOrDefault("content-length", "0");
        if (contentLength.length() > 9
                || Long.parseLong(contentLength) > mSettings.maxRequestBodyBytes()) {
            throw bodyTooLarge();
        }
    }

    private Mono<byte[]> collectBody(HttpServerRequest httpRequest) {
        return BoundedBody.collect(
                httpRequest.receive().asByteArray(),
                mSettings.maxRequestBodyBytes(),
                this::bodyTooLarge);
    }

    private RefusedException bodyTooLarge() {
        return new RefusedException(
                Refusal.of(
                        ResultCode.BODY_TOO_LARGE,
                        "at most " + mSettings.maxRequestBodyBytes() + " bytes"));
    }

    /** Joins repeated headers with commas, as HTTP allows. */
    private static Map<String, String> joinedHeaders(HttpServerRequest httpRequest) {
        Map<String, String> headers = new HashMap<>();
        httpRequest
                .requestHeaders()
                .forEach(
                        header ->
                                headers.merge(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue(),
                                        (first, second) -> first + ", " + second));
        return headers;
    }

    static <T> T getOrRefuse(Either<Refusal, T> result) {
        return result.getOrElseThrow(refusal -> new RefusedException(refusal));
    }
}
