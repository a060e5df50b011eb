package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillaslip.BackendKind;
import org.vanillaslip.internal.standins.service.ServiceFault;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Guards against incomplete, reordered and mismatched responses. */
@DisplayName("whole-answers")
class CompleteResponsesTest {

    /**
     * The 30 s to the deadline take 7.5 s of real time, in which connections are made and read; a
     * silence of 10 s takes 2.5 s.
     */
    private static final Duration VIRTUAL_STEP = Duration.ofMillis(20);

    /** Scripts of the first connection by name of the fault. The second connection succeeds. */
    private static final Map<String, FakeEngine.ResponseScript> RESUMABLE_FAULTS =
            Map.of(
                    "ends early", (id, offset) -> FakeEngine.tokenEvents(id, 0, 2),
                    "ends before any token", (id, offset) -> Flux.empty(),
                    "breaks the connection",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(
                                                    Mono.error(
                                                            new RuntimeException(
                                                                    "connection lost"))),
                    "stops sending",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2).concatWith(Flux.never()),
                    "repeats tokens",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(FakeEngine.tokenEvents(id, 0, 2)),
                    "skips a token",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(FakeEngine.tokenEvents(id, 3, 5)),
                    "ends with a wrong count",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(Mono.just(FakeEngine.finalEvents(id, 5))),
                    "sends an event of another request",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(
                                                    Mono.just(FakeEngine.tokenEvent("other", 2))),
                    "truncates a line",
                            (id, offset) ->
                                    FakeEngine.tokenEvents(id, 0, 2)
                                            .concatWith(
                                                    Mono.just(
                                                            FakeEngine.tokenEvent(id, 2)
                                                                    .substring(0, 20))));

    static Stream<Arguments> resumableFaults() {
        return RESUMABLE_FAULTS.keySet().stream()
                .sorted()
                .flatMap(
                        fault -> Stream.of(true, false).map(stream -> Arguments.of(fault, stream)));
    }

    @ParameterizedTest(name = "the engine {0}, streamed: {1}")
    @MethodSource("resumableFaults")
    void resumesAtTheOffsetAfterAnIncompleteResponse(String fault, boolean stream) {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mResponseScripts.add(RESUMABLE_FAULTS.get(fault));
            harness.mEngine.mResponseScripts.add(FakeEngine.completeResponse(5));
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(stream), VIRTUAL_STEP);
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body().split("t\\d ")).hasSize(6);
            assertThat(response.body()).contains("\"completion_tokens\":5");
            assertThat(response.body()).doesNotContain("error", "other");
            assertThat(harness.mEngine.mResumeOffsets).hasSize(2);
            harness.awaitCondition(() -> harness.mSettledTokens.equals(List.of(7L)));
        }
    }

    static Stream<Arguments> unresumableFaults() {
        Consumer<FakeEngine> restart = engine -> engine.mIncarnation = "second";
        Consumer<FakeEngine> unload = engine -> engine.mStatus = 404;
        Consumer<FakeEngine> mismatch = engine -> engine.mResponseRequestId = "other";
        return Stream.of(
                Arguments.of("was restarted", restart),
                Arguments.of("no longer has the model", unload),
                Arguments.of("responds to other requests", mismatch));
    }

    @ParameterizedTest(name = "the engine {0}")
    @MethodSource("unresumableFaults")
    void endsAStreamThatCannotBeResumedWithAnError(String name, Consumer<FakeEngine> fault) {
        for (boolean stream : new boolean[] {true, false}) {
            try (GatewayHarness harness = new GatewayHarness()) {
                harness.mEngine.mResponseScripts.add(
                        (id, offset) ->
                                FakeEngine.tokenEvents(id, 0, 2)
                                        .concatWith(
                                                Flux.<String>empty()
                                                        .doOnComplete(
                                                                () ->
                                                                        fault.accept(
                                                                                harness.mEngine))));
                HttpResponse<String> response =
                        harness.awaitResponse(harness.postQuote(stream), VIRTUAL_STEP);
                assertThat(response.body()).contains("STREAM_INCOMPLETE", "\"not_run\":false");
                assertThat(response.body()).doesNotContain("[DONE]", "finish_reason");
                assertThat(response.statusCode()).isEqualTo(stream ? 200 : 502);
            }
        }
    }

    @Test
    void discardsTheResponseToAnotherRequest() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.setFault(ServiceFault.MISMATCHED, 1, Duration.ZERO);
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postSheetCut("B-1", "K-1"));
            assertThat(response.body()).contains("ANSWER_MISMATCHED", "\"not_run\":false");
            assertThat(response.body()).doesNotContain("executions");
        }
    }

    @Test
    void cancelsTheEngineRequestWhenTheCallerDisconnects() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mResponseScripts.add(
                    (id, offset) -> FakeEngine.tokenEvents(id, 0, 1).concatWith(Flux.never()));
            var disconnecting = harness.postQuote(true);
            harness.awaitCondition(() -> !harness.mEngine.mReceivedRequests.isEmpty());
            disconnecting.cancel(true);
            harness.awaitCondition(() -> !harness.mEngine.mCancelledRequestIds.isEmpty());
            harness.awaitCondition(() -> !harness.mSettledTokens.isEmpty());
        }
    }

    @Test
    void retriesARefusedRequestAndDoesNotReportNotRun() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 429;
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(false), VIRTUAL_STEP);
            assertThat(response.body()).contains("BACKEND_FAILED", "\"not_run\":false");
            assertThat(harness.mEngine.mReceivedRequests).hasSize(2);
        }
    }

    @Test
    void doesNotReportNotRunWhenOnlyTheRetryCouldNotBeSent() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 429;
            harness.addServer("engine-2", "127.0.0.1:11", BackendKind.MODEL_ENGINE);
            harness.configure(harness.configuration(Set.of(GatewayHarness.API_KEY), false));
            for (int prompt = 0; prompt < 8; prompt++) {
                String body = "{\"model\":\"edge\",\"prompt\":\"" + prompt + "\"}";
                HttpResponse<String> response =
                        harness.awaitResponse(harness.post("/quotes", body), VIRTUAL_STEP);
                assertThat(response.body()).contains("BACKEND_FAILED", "\"not_run\":false");
                harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(11));
            }
        }
    }

    @Test
    void reportsNotRunWhenTheEngineCannotBeReached() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.addServer("engine-1", "127.0.0.1:11", BackendKind.MODEL_ENGINE);
            HttpResponse<String> response =
                    harness.awaitResponse(harness.postQuote(false), VIRTUAL_STEP);
            assertThat(response.body()).contains("NO_BACKEND_SERVER", "\"not_run\":true");
            assertThat(harness.mEngine.mReceivedRequests).isEmpty();
            harness.awaitCondition(() -> harness.mSettledTokens.equals(List.of(0L)));
        }
    }
}
