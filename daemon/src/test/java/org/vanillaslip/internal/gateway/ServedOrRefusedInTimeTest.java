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

/** Guards against requests that wait past their deadline or are refused late. */
@DisplayName("served-or-refused-in-time")
class ServedOrRefusedInTimeTest {

    @Test
    void refusesAtOnceWhenTheLoadTakesLongerThanTheDeadline() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            harness.mActivation = Either.right(Duration.ofSeconds(40));
            HttpResponse<String> answer = harness.await(harness.quote(false), Duration.ZERO);
            assertThat(answer.body()).contains("DEADLINE_UNREACHABLE", "\"not_run\":true");
            assertThat(answer.headers().firstValue("Retry-After")).contains("40");
        }
    }

    @Test
    void refusesAtOnceWhenNoReplicaWillCome() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            harness.mActivation =
                    Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "no memory left"));
            HttpResponse<String> answer = harness.await(harness.quote(false), Duration.ZERO);
            assertThat(answer.body()).contains("NO_BACKEND_SERVER", "no memory left");
        }
    }

    /** Guards against loading a model later for a request that was refused long before. */
    @Test
    void endsTheWaitForAModelWhenItsLastRequestIsRefused() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var first = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            var second = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 2);
            first.cancel(true);
            harness.awaitTrue(() -> harness.waiting() == 1);
            assertThat(harness.mWithdrawn).isEmpty();
            harness.mActivation =
                    Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "no memory left"));
            harness.mTime.advanceTimeBy(Duration.ofMillis(1_100));
            harness.await(second, Duration.ZERO);
            assertThat(harness.mWithdrawn).hasSize(1);
        }
    }

    @Test
    void servesAWaitingRequestWhenTheReplicaIsLoaded() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.modelLoaded(true);
            assertThat(harness.await(waiting, Duration.ZERO).statusCode()).isEqualTo(200);
        }
    }

    /**
     * The first try ends after its retry has begun to wait, and must not take it out of the queue.
     */
    @Test
    void servesARetryThatWaitsUntilTheModelIsLoadedAgain() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 404;
            harness.mEngine.mScripts.add(
                    (id, offset) -> {
                        harness.mModelLoaded = false;
                        return FakeEngine.tokens(id, 0, 0);
                    });
            var retried = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.mEngine.mStatus = 200;
            harness.modelLoaded(true);
            assertThat(harness.await(retried, Duration.ZERO).statusCode()).isEqualTo(200);
            assertThat(harness.await(harness.quote(false), Duration.ZERO).statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void refusesBeforeTheDeadlineWhenTheLoadNeverEnds() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            // A promise that is always short, so that only the deadline ends the wait.
            harness.mActivation = Either.right(Duration.ofMillis(1));
            var waiting = harness.quote(false, "X-Request-Deadline-Millis", "2000");
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.mTime.advanceTimeBy(Duration.ofMillis(1_999));
            HttpResponse<String> answer = harness.await(waiting, Duration.ZERO);
            assertThat(answer.body()).contains("DEADLINE_UNREACHABLE", "\"not_run\":true");
        }
    }

    @Test
    void refusesAWaitingRequestAtOnceWhenItsModelGoes() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.configure(harness.withoutModels());
            HttpResponse<String> answer = harness.await(waiting, Duration.ZERO);
            assertThat(answer.body()).contains("UNKNOWN_MODEL", "\"not_run\":true");
        }
    }

    @Test
    void forgetsAWaitingRequestWhoseCallerLeft() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            waiting.cancel(true);
            harness.awaitTrue(() -> harness.waiting() == 0);
            harness.modelLoaded(true);
            assertThat(harness.mEngine.mRequests).isEmpty();
        }
    }

    @Test
    void refusesAtOnceWhenTheQueueIsFull() {
        try (GatewayHarness harness = new GatewayHarness(new QueueLimits(1, 4096, 1, 4096))) {
            harness.mModelLoaded = false;
            harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            HttpResponse<String> answer = harness.await(harness.quote(false), Duration.ZERO);
            assertThat(answer.body()).contains("QUEUE_FULL", "retry_after_millis");
        }
    }

    @Test
    void answersAtTheDeadlineWhenTheEngineIsSilent() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mScripts.add((id, offset) -> Flux.never());
            var waiting = harness.quote(true, "X-Request-Deadline-Millis", "2000");
            harness.awaitTrue(() -> !harness.mEngine.mRequests.isEmpty());
            harness.mTime.advanceTimeBy(Duration.ofSeconds(2));
            HttpResponse<String> answer = harness.await(waiting, Duration.ZERO);
            assertThat(answer.statusCode()).isEqualTo(504);
            assertThat(answer.body()).contains("DEADLINE_EXPIRED", "\"not_run\":false");
        }
    }

    @Test
    @DisplayName("slow-start: a fresh server gets a request only with a slot")
    void needsASlotOnAFreshServer() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mUptime = Duration.ofSeconds(3);
            harness.mSlotsRefused = true;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.mTime.advanceTimeBy(Duration.ofSeconds(1));
            assertThat(harness.mEngine.mRequests).isEmpty();
            harness.mSlotsRefused = false;
            assertThat(harness.await(waiting).statusCode()).isEqualTo(200);
            harness.awaitTrue(() -> harness.mSlotsHeld.get() == 0);
        }
    }

    @Test
    @DisplayName("drain-failure-domain: a drained domain gets no new request")
    void choosesNoServerInADrainedDomain() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.configure(harness.configuration(java.util.Set.of(GatewayHarness.KEY), true));
            harness.mActivation = Either.left(Refusal.of(ResultCode.NO_BACKEND_SERVER, "drained"));
            assertThat(harness.await(harness.quote(false)).body()).contains("NO_BACKEND_SERVER");
            assertThat(harness.await(harness.get("/stock")).body()).contains("NO_BACKEND_SERVER");
            assertThat(harness.await(harness.get("/readyz")).statusCode()).isEqualTo(503);
            assertThat(harness.mEngine.mRequests).isEmpty();
        }
    }
}
