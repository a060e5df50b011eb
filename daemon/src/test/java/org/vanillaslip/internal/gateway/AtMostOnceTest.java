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

/** Guards against a second execution and against a wrong "not run" at each step of an attempt. */
@DisplayName("at-most-once, not-run-is-true")
class AtMostOnceTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    static Stream<Arguments> cells() {
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
    @MethodSource("cells")
    void executesAtMostOnceAndNeverSaysNotRunWrongly(
            String operation, FakeStore.Fault fault, ServiceFault service) {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mStore.fail(operation, fault, 1);
            harness.mService.fault(service, 1, Duration.ofMillis(20));
            HttpResponse<String> first = harness.await(harness.cut("B-1", "K-1"), SECOND);
            if (first.body().contains("\"not_run\":true")) {
                assertThat(harness.mService.records().calls()).isEmpty();
            }
            HttpResponse<String> repeat = harness.await(harness.cut("B-1", "K-1"), SECOND);
            assertThat(harness.mService.records().executions().getOrDefault("B-1", 0))
                    .isLessThanOrEqualTo(1);
            for (int again = 0; first.statusCode() == 200 && again < 20; again++) {
                assertThat(repeat.body()).doesNotContain("\"not_run\":true");
                if (repeat.statusCode() == 200) {
                    break;
                }
                // As Retry-After says; a pending record goes on in virtual time only.
                harness.mTime.advanceTimeBy(SECOND);
                repeat = harness.await(harness.cut("B-1", "K-1"), SECOND);
            }
            if (first.statusCode() == 200) {
                assertThat(repeat.body()).isEqualTo(first.body());
            }
        }
    }

    @Test
    void refusesAsNotRunWhileThePlatformIsUnreachable() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mStore.fail("create", FakeStore.Fault.DOWN, 100);
            HttpResponse<String> answer = harness.await(harness.cut("B-1", "K-1"));
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.body()).contains("PLATFORM_UNAVAILABLE", "\"not_run\":true");
            assertThat(answer.headers().firstValue("Retry-After")).isPresent();
            assertThat(harness.mService.records().calls()).isEmpty();
        }
    }

    @Test
    void returnsTheRecordedOutcomeToARepeatAndDetectsAReusedKey() {
        try (GatewayHarness harness = new GatewayHarness()) {
            HttpResponse<String> first = harness.await(harness.cut("B-1", "K-1"));
            assertThat(first.body()).contains("\"executions\":1");
            assertThat(harness.await(harness.cut("B-1", "K-1")).body()).isEqualTo(first.body());
            HttpResponse<String> reused = harness.await(harness.cut("B-2", "K-1"));
            assertThat(reused.body()).contains("IDEMPOTENCY_KEY_REUSED");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void letsARepeatRunWhenTheServiceCouldNotBeReached() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.stop();
            HttpResponse<String> first = harness.await(harness.cut("B-1", "K-1"));
            assertThat(first.body()).contains("NO_BACKEND_SERVER", "\"not_run\":true");
            assertThat(harness.mStore.size()).isZero();
        }
    }

    @Test
    void sendsACallWithoutKeyOnlyOnce() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.fault(ServiceFault.CLOSE_AFTER, 1, Duration.ZERO);
            HttpResponse<String> answer =
                    harness.await(
                            harness.post(GatewayHarness.PATH, "{\"booking_reference\":\"B-1\"}"));
            assertThat(answer.body()).contains("BACKEND_FAILED", "\"not_run\":false");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void recordsTheOutcomeAfterTheCallerLeft() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.fault(ServiceFault.LATE, 1, Duration.ofMillis(200));
            var leaving = harness.cut("B-1", "K-1");
            harness.awaitTrue(() -> !harness.mService.records().calls().isEmpty());
            leaving.cancel(true);
            HttpResponse<String> repeat = harness.await(harness.cut("B-1", "K-1"));
            while (repeat.statusCode() == 409) {
                assertThat(repeat.body()).contains("ATTEMPT_IN_PROGRESS");
                repeat = harness.await(harness.cut("B-1", "K-1"));
            }
            assertThat(repeat.body()).contains("\"executions\":1");
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void repeatsAnIdempotentCallWithinTheBudget() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.fault(ServiceFault.CLOSE_BEFORE, 1, Duration.ZERO);
            assertThat(harness.await(harness.get("/stock")).statusCode()).isEqualTo(200);
            assertThat(harness.mService.records().calls()).hasSize(2);
        }
    }
}
