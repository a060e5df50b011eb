package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Guards against a graceful shutdown that interrupts requests or never completes. */
@DisplayName("graceful-stop")
class GracefulStopTest {

    @Test
    void completesRunningAndWaitingRequestsAndRefusesNewOnes() {
        try (GatewayHarness harness = new GatewayHarness()) {
            Sinks.Many<String> remainingEvents = Sinks.many().unicast().onBackpressureBuffer();
            harness.mEngine.mResponseScripts.add(
                    (id, offset) ->
                            FakeEngine.tokenEvents(id, 0, 1).concatWith(remainingEvents.asFlux()));
            var running = harness.postQuote(true);
            harness.awaitCondition(() -> !harness.mEngine.mReceivedRequests.isEmpty());
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            AtomicBoolean stopped = new AtomicBoolean();
            harness.stopGateway().doOnTerminate(() -> stopped.set(true)).subscribe();
            assertThat(harness.awaitResponse(harness.get("/readyz"), Duration.ZERO).statusCode())
                    .isEqualTo(503);
            assertThat(harness.awaitResponse(harness.get("/stock"), Duration.ZERO).statusCode())
                    .isEqualTo(200);
            harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(5));
            HttpResponse<String> refused =
                    harness.awaitResponse(harness.postQuote(false), Duration.ZERO);
            assertThat(refused.body()).contains("HOST_STOPPING", "\"not_run\":true");
            assertThat(stopped).isFalse();
            harness.setModelLoaded(true);
            assertThat(harness.awaitResponse(waiting, Duration.ZERO).statusCode()).isEqualTo(200);
            remainingEvents.tryEmitNext(FakeEngine.finalEvents("id-1", 1));
            assertThat(harness.awaitResponse(running, Duration.ZERO).body()).contains("[DONE]");
            harness.awaitCondition(
                    () -> {
                        harness.mVirtualTime.advanceTimeBy(Duration.ofMillis(50));
                        return stopped.get();
                    });
            assertThat(harness.mLogEvents).containsOnlyOnce("STOPPING []", "REFUSING []");
            assertThat(harness.mLogEvents).noneMatch(line -> line.startsWith("STOP_INCOMPLETE"));
        }
    }

    @Test
    void endsRunningRequestsWithAnErrorAfterTheShutdownTimeout() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mResponseScripts.add(
                    (id, offset) -> FakeEngine.tokenEvents(id, 0, 1).concatWith(Flux.never()));
            var running = harness.postQuote(true);
            harness.awaitCondition(() -> harness.mStartedResponses.get() == 1);
            AtomicBoolean stopped = new AtomicBoolean();
            harness.stopGateway().doOnTerminate(() -> stopped.set(true)).subscribe();
            harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(9));
            assertThat(harness.mLogEvents)
                    .filteredOn(line -> line.startsWith("STOP_INCOMPLETE"))
                    .hasSize(1);
            assertThat(harness.awaitResponse(running, Duration.ZERO).body())
                    .contains("event: error", "HOST_STOPPING", "\"not_run\":false")
                    .doesNotContain("[DONE]");
            harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(1));
            harness.awaitCondition(stopped::get);
        }
    }
}
