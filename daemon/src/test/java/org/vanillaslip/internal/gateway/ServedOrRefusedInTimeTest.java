package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.queue.QueueLimits;
import reactor.core.publisher.Flux;

/** Guards against requests that wait past their deadline or are refused too late. */
@DisplayName("served-or-refused-in-time")
class ServedOrRefusedInTimeTest {

    @Test
    void refusesImmediatelyWhenLoadingTakesLongerThanTheDeadline() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            harness.mActivationResult = Either.right(Duration.ofSeconds(40));
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(false), Duration.ZERO);
            assertThat(response.body()).contains("DEADLINE_UNREACHABLE", "\"not_run\":true");
            assertThat(response.headers().firstValue("Retry-After")).contains("40");
        }
    }

    @Test
    void refusesImmediatelyWhenNoReplicaCanBeLoaded() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            harness.mActivationResult =
                    Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "no memory left"));
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(false), Duration.ZERO);
            assertThat(response.body()).contains("NO_BACKEND_SERVER", "no memory left");
        }
    }

    /** Guards against loading a model for requests that were already refused. */
    @Test
    void withdrawsTheActivationWhenTheLastWaitingRequestIsRefused() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var first = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            var second = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 2);
            first.cancel(true);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            assertThat(harness.mWithdrawnModels).isEmpty();
            harness.mActivationResult =
                    Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "no memory left"));
            harness.mVirtualTime.advanceTimeBy(Duration.ofMillis(1_100));
            harness.awaitResponse(second, Duration.ZERO);
            assertThat(harness.mWithdrawnModels).hasSize(1);
        }
    }

    @Test
    void servesAWaitingRequestWhenTheReplicaIsLoaded() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.setModelLoaded(true);
            assertThat(harness.awaitResponse(waiting, Duration.ZERO).statusCode()).isEqualTo(200);
        }
    }

    /**
     * The first try is closed after its retry was queued under the same request id, and must not
     * remove the retry from the queue.
     */
    @Test
    void servesARetryThatWaitsUntilTheModelIsReloaded() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 404;
            harness.mEngine.mResponseScripts.add(
                    (id, offset) -> {
                        harness.mModelLoaded = false;
                        return FakeEngine.tokenEvents(id, 0, 0);
                    });
            var retried = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.mEngine.mStatus = 200;
            harness.setModelLoaded(true);
            assertThat(harness.awaitResponse(retried, Duration.ZERO).statusCode()).isEqualTo(200);
            assertThat(harness.awaitResponse(harness.postQuote(false), Duration.ZERO).statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void refusesBeforeTheDeadlineWhenLoadingNeverCompletes() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            // The expected wait is always short, so that only the deadline ends the wait.
            harness.mActivationResult = Either.right(Duration.ofMillis(1));
            var waiting = harness.postQuote(false, "X-Request-Deadline-Millis", "2000");
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.mVirtualTime.advanceTimeBy(Duration.ofMillis(1_999));
            HttpResponse<String> response = harness.awaitResponse(waiting, Duration.ZERO);
            assertThat(response.body()).contains("DEADLINE_UNREACHABLE", "\"not_run\":true");
        }
    }

    @Test
    void refusesAWaitingRequestImmediatelyWhenItsModelIsRemoved() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.configure(harness.configurationWithoutModels());
            HttpResponse<String> response = harness.awaitResponse(waiting, Duration.ZERO);
            assertThat(response.body()).contains("UNKNOWN_MODEL", "\"not_run\":true");
        }
    }

    @Test
    void removesAWaitingRequestWhenItsCallerDisconnects() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            waiting.cancel(true);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 0);
            harness.setModelLoaded(true);
            assertThat(harness.mEngine.mReceivedRequests).isEmpty();
        }
    }

    @Test
    void refusesImmediatelyWhenTheQueueIsFull() {
        try (GatewayHarness harness = new GatewayHarness(new QueueLimits(1, 4096, 1, 4096))) {
            harness.mModelLoaded = false;
            harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(false), Duration.ZERO);
            assertThat(response.body()).contains("QUEUE_FULL", "retry_after_millis");
        }
    }

    @Test
    void refusesAtTheDeadlineWhenTheEngineSendsNothing() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mResponseScripts.add((id, offset) -> Flux.never());
            var waiting = harness.postQuote(true, "X-Request-Deadline-Millis", "2000");
            harness.awaitCondition(() -> !harness.mEngine.mReceivedRequests.isEmpty());
            harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(2));
            HttpResponse<String> response = harness.awaitResponse(waiting, Duration.ZERO);
            assertThat(response.statusCode()).isEqualTo(504);
            assertThat(response.body()).contains("DEADLINE_EXPIRED", "\"not_run\":false");
        }
    }

    @Test
    @DisplayName("slow-start: a recently started server gets a request only with a slot")
    void waitsForASlotOnARecentlyStartedServer() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mServerUptime = Duration.ofSeconds(3);
            harness.mRefuseSlots = true;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(1));
            assertThat(harness.mEngine.mReceivedRequests).isEmpty();
            harness.mRefuseSlots = false;
            assertThat(harness.awaitResponse(waiting).statusCode()).isEqualTo(200);
            harness.awaitCondition(() -> harness.mSlotsInUse.get() == 0);
        }
    }

    @Test
    @DisplayName("drain-failure-domain: a drained domain gets no new request")
    void choosesNoServerInADrainedFailureDomain() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.configure(
                    harness.configuration(java.util.Set.of(GatewayHarness.API_KEY), true));
            harness.mActivationResult =
                    Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "drained"));
            assertThat(harness.awaitResponse(harness.postQuote(false)).body())
                    .contains("NO_BACKEND_SERVER");
            assertThat(harness.awaitResponse(harness.get("/stock")).body())
                    .contains("NO_BACKEND_SERVER");
            assertThat(harness.awaitResponse(harness.get("/readyz")).statusCode()).isEqualTo(503);
            assertThat(harness.mEngine.mReceivedRequests).isEmpty();
        }
    }
}
