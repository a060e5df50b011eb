package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillaslip.internal.standins.service.ServiceFault;

/**
 * Guards against a second execution of a call and against a wrong "not run", when the object store
 * or the service fails at any step of an attempt.
 */
@DisplayName("at-most-once, not-run-is-true")
class AtMostOnceTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    static Stream<Arguments> storeAndServiceFaults() {
        return Stream.of("create", "read", "update", "delete")
                .flatMap(
                        operation ->
                                Stream.of(FakeStore.Fault.values())
                                        .flatMap(
                                                fault ->
                                                        Stream.of(ServiceFault.values())
                                                                .map(
                                                                        service ->
                                                                                Arguments.of(
                                                                                        operation,
                                                                                        fault,
                                                                                        service))));
    }

    @ParameterizedTest(name = "store {0} {1}, service {2}")
    @MethodSource("storeAndServiceFaults")
    void executesAtMostOnceAndReportsNotRunOnlyIfNotExecuted(
            String storeOperation, FakeStore.Fault storeFault, ServiceFault serviceFault) {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mStore.injectFault(storeOperation, storeFault, 1);
            harness.mService.setFault(serviceFault, 1, Duration.ofMillis(20));
            HttpResponse<String> first =
                    harness.awaitResponse(harness.postSheetCut("B-1", "K-1"), SECOND);
            if (first.body().contains("\"not_run\":true")) {
                assertThat(harness.mService.records().calls()).isEmpty();
            }
            HttpResponse<String> retry =
                    harness.awaitResponse(harness.postSheetCut("B-1", "K-1"), SECOND);
            assertThat(harness.mService.records().executions().getOrDefault("B-1", 0))
                    .isLessThanOrEqualTo(1);
            for (int tries = 0; first.statusCode() == 200 && tries < 20; tries++) {
                assertThat(retry.body()).doesNotContain("\"not_run\":true");
                if (retry.statusCode() == 200) {
                    break;
                }
                // Waits as Retry-After requests. A pending record is only written as virtual time
                // advances.
                harness.mVirtualTime.advanceTimeBy(SECOND);
                retry = harness.awaitResponse(harness.postSheetCut("B-1", "K-1"), SECOND);
            }
            if (first.statusCode() == 200) {
                assertThat(retry.body()).isEqualTo(first.body());
            }
        }
    }

    @Test
    void refusesAsNotRunWhileThePlatformIsUnavailable() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mStore.injectFault("create", FakeStore.Fault.DOWN, 100);
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.body()).contains("PLATFORM_UNAVAILABLE", "\"not_run\":true");
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
            assertThat(harness.mService.records().calls()).isEmpty();
        }
    }

    @Test
    void returnsTheRecordedOutcomeToARetryAndRejectsAReusedKey() {
        try (GatewayHarness harness = new GatewayHarness()) {
            HttpResponse<String> first = harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            assertThat(first.body()).contains("\"executions\":1");
            assertThat(harness.awaitResponse(harness.postSheetCut("B-1", "K-1")).body())
                    .isEqualTo(first.body());
            HttpResponse<String> reused = harness.awaitResponse(harness.postSheetCut("B-2", "K-1"));
            assertThat(reused.body()).contains("IDEMPOTENCY_KEY_REUSED");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void deletesTheAttemptRecordWhenTheServiceCannotBeReached() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.stop();
            HttpResponse<String> first = harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            assertThat(first.body()).contains("NO_BACKEND_SERVER", "\"not_run\":true");
            assertThat(harness.mStore.size()).isZero();
        }
    }

    @Test
    void sendsACallWithoutIdempotencyKeyOnlyOnce() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.setFault(ServiceFault.CLOSE_AFTER, 1, Duration.ZERO);
            HttpResponse<String> response =
                    harness.awaitResponse(
                            harness.post(
                                    GatewayHarness.PLAIN_SERVICE_PATH,
                                    "{\"booking_reference\":\"B-1\"}"));
            assertThat(response.body()).contains("BACKEND_FAILED", "\"not_run\":false");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void recordsTheOutcomeAfterTheCallerDisconnects() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.setFault(ServiceFault.LATE, 1, Duration.ofMillis(200));
            var disconnecting = harness.postSheetCut("B-1", "K-1");
            harness.awaitCondition(() -> !harness.mService.records().calls().isEmpty());
            disconnecting.cancel(true);
            HttpResponse<String> retry = harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            while (retry.statusCode() == 409) {
                assertThat(retry.body()).contains("ATTEMPT_IN_PROGRESS");
                retry = harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            }
            assertThat(retry.body()).contains("\"executions\":1");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void retriesARepeatableCallWithinTheRetryBudget() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.setFault(ServiceFault.CLOSE_BEFORE, 1, Duration.ZERO);
            assertThat(harness.awaitResponse(harness.get("/stock")).statusCode()).isEqualTo(200);
            assertThat(harness.mService.records().calls()).hasSize(2);
        }
    }
}
