package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Guards against a planned stop that interrupts requests or never ends. */
@DisplayName("graceful-stop")
class GracefulStopTest {

    @Test
    void finishesRunningAndWaitingRequestsAndRefusesNewOnes() {
        try (GatewayHarness harness = new GatewayHarness()) {
            Sinks.Many<String> rest = Sinks.many().unicast().onBackpressureBuffer();
            harness.mEngine.mScripts.add(
                    (id, offset) -> FakeEngine.tokens(id, 0, 1).concatWith(rest.asFlux()));
            var running = harness.quote(true);
            harness.awaitTrue(() -> !harness.mEngine.mRequests.isEmpty());
            harness.mModelLoaded = false;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            AtomicBoolean stopped = new AtomicBoolean();
            harness.stop().doOnTerminate(() -> stopped.set(true)).subscribe();
            assertThat(harness.await(harness.get("/readyz"), Duration.ZERO).statusCode())
                    .isEqualTo(503);
            assertThat(harness.await(harness.get("/stock"), Duration.ZERO).statusCode())
                    .isEqualTo(200);
            harness.mTime.advanceTimeBy(Duration.ofSeconds(5));
            HttpResponse<String> refused = harness.await(harness.quote(false), Duration.ZERO);
            assertThat(refused.body()).contains("HOST_STOPPING", "\"not_run\":true");
            assertThat(stopped).isFalse();
            harness.modelLoaded(true);
            assertThat(harness.await(waiting, Duration.ZERO).statusCode()).isEqualTo(200);
            rest.tryEmitNext(FakeEngine.end("id-1", 1));
            assertThat(harness.await(running, Duration.ZERO).body()).contains("[DONE]");
            harness.awaitTrue(
                    () -> {
                        harness.mTime.advanceTimeBy(Duration.ofMillis(50));
                        return stopped.get();
                    });
            assertThat(harness.mLog).containsOnlyOnce("STOPPING []", "REFUSING []");
            assertThat(harness.mLog).noneMatch(line -> line.startsWith("STOP_INCOMPLETE"));
        }
    }

    @Test
    void endsWithinTheBoundAndTellsTheCallers() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mScripts.add(
                    (id, offset) -> FakeEngine.tokens(id, 0, 1).concatWith(Flux.never()));
            var running = harness.quote(true);
            harness.awaitTrue(() -> harness.mStarted.get() == 1);
            AtomicBoolean stopped = new AtomicBoolean();
            harness.stop().doOnTerminate(() -> stopped.set(true)).subscribe();
            harness.mTime.advanceTimeBy(Duration.ofSeconds(9));
            assertThat(harness.mLog)
                    .filteredOn(line -> line.startsWith("STOP_INCOMPLETE"))
                    .hasSize(1);
            assertThat(harness.await(running, Duration.ZERO).body())
                    .contains("event: error", "HOST_STOPPING", "\"not_run\":false")
                    .doesNotContain("[DONE]");
            harness.mTime.advanceTimeBy(Duration.ofSeconds(1));
            harness.awaitTrue(stopped::get);
        }
    }
}
