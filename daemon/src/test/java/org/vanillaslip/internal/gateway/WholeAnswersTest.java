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

/** Guards against incomplete, reordered and crossed answers. */
@DisplayName("whole-answers")
class WholeAnswersTest {

    /** Small against the deadline of 30 s, because real I/O goes on between two steps. */
    private static final Duration STEP = Duration.ofMillis(100);

    /** Each entry is the script of the first connection; the second one resumes normally. */
    private static final Map<String, FakeEngine.Script> REPAIRABLE =
            Map.of(
                    "ends early", (id, offset) -> FakeEngine.tokens(id, 0, 2),
                    "ends before any token", (id, offset) -> Flux.empty(),
                    "breaks",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(Mono.error(new RuntimeException("cut"))),
                    "goes silent",
                            (id, offset) -> FakeEngine.tokens(id, 0, 2).concatWith(Flux.never()),
                    "repeats tokens",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(FakeEngine.tokens(id, 0, 2)),
                    "skips a token",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(FakeEngine.tokens(id, 3, 5)),
                    "ends with a wrong count",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(Mono.just(FakeEngine.end(id, 5))),
                    "sends an event of another request",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(Mono.just(FakeEngine.token("other", 2))),
                    "cuts a line",
                            (id, offset) ->
                                    FakeEngine.tokens(id, 0, 2)
                                            .concatWith(
                                                    Mono.just(
                                                            FakeEngine.token(id, 2)
                                                                    .substring(0, 20))));

    static Stream<Arguments> repairable() {
        return REPAIRABLE.keySet().stream()
                .flatMap(
                        fault -> Stream.of(true, false).map(stream -> Arguments.of(fault, stream)));
    }

    @ParameterizedTest(name = "the engine {0}, streamed: {1}")
    @MethodSource("repairable")
    void resumesAtTheOffset(String fault, boolean stream) {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mScripts.add(REPAIRABLE.get(fault));
            harness.mEngine.mScripts.add(FakeEngine.whole(5));
            HttpResponse<String> answer = harness.await(harness.quote(stream), STEP);
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body().split("t\\d ")).hasSize(6);
            assertThat(answer.body()).contains("\"completion_tokens\":5");
            assertThat(answer.body()).doesNotContain("error", "other");
            assertThat(harness.mEngine.mOffsets).hasSize(2);
            harness.awaitTrue(() -> harness.mSettled.equals(List.of(7L)));
        }
    }

    static Stream<Arguments> hopeless() {
        Consumer<FakeEngine> restart = engine -> engine.mIncarnation = "second";
        Consumer<FakeEngine> unload = engine -> engine.mStatus = 404;
        Consumer<FakeEngine> crossed = engine -> engine.mEchoedId = "other";
        return Stream.of(
                Arguments.of("is cold again", restart),
                Arguments.of("no longer has the model", unload),
                Arguments.of("answers other requests", crossed));
    }

    @ParameterizedTest(name = "the engine {0}")
    @MethodSource("hopeless")
    void endsAStreamThatCannotBeResumedAsAnError(String name, Consumer<FakeEngine> fault) {
        for (boolean stream : new boolean[] {true, false}) {
            try (GatewayHarness harness = new GatewayHarness()) {
                harness.mEngine.mScripts.add(
                        (id, offset) ->
                                FakeEngine.tokens(id, 0, 2)
                                        .concatWith(
                                                Flux.<String>empty()
                                                        .doOnComplete(
                                                                () ->
                                                                        fault.accept(
                                                                                harness.mEngine))));
                HttpResponse<String> answer = harness.await(harness.quote(stream), STEP);
                assertThat(answer.body()).contains("STREAM_INCOMPLETE", "\"not_run\":false");
                assertThat(answer.body()).doesNotContain("[DONE]", "finish_reason");
                assertThat(answer.statusCode()).isEqualTo(stream ? 200 : 502);
            }
        }
    }

    @Test
    void discardsTheAnswerOfAnotherRequest() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mService.fault(ServiceFault.MISMATCHED, 1, Duration.ZERO);
            HttpResponse<String> answer = harness.await(harness.cut("B-1", "K-1"));
            assertThat(answer.body()).contains("ANSWER_MISMATCHED", "\"not_run\":false");
            assertThat(answer.body()).doesNotContain("executions");
        }
    }

    @Test
    void cancelsTheEngineWhenTheCallerLeaves() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mScripts.add(
                    (id, offset) -> FakeEngine.tokens(id, 0, 1).concatWith(Flux.never()));
            var leaving = harness.quote(true);
            harness.awaitTrue(() -> !harness.mEngine.mRequests.isEmpty());
            leaving.cancel(true);
            harness.awaitTrue(() -> !harness.mEngine.mCancelled.isEmpty());
            harness.awaitTrue(() -> !harness.mSettled.isEmpty());
        }
    }

    @Test
    void triesAnotherServerAndDoesNotSayNotRunAfterASend() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 429;
            HttpResponse<String> refused = harness.await(harness.quote(false), STEP);
            assertThat(refused.body()).contains("BACKEND_FAILED", "\"not_run\":false");
            assertThat(harness.mEngine.mRequests).hasSize(2);
        }
    }

    @Test
    void doesNotSayNotRunWhenOnlyTheRetryCouldNotBeSent() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mStatus = 429;
            harness.addServer("engine-2", "127.0.0.1:11", BackendKind.MODEL_ENGINE);
            harness.configure(harness.configuration(Set.of(GatewayHarness.KEY), false));
            for (int prompt = 0; prompt < 8; prompt++) {
                String body = "{\"model\":\"edge\",\"prompt\":\"" + prompt + "\"}";
                HttpResponse<String> refused = harness.await(harness.post("/quotes", body), STEP);
                assertThat(refused.body()).contains("BACKEND_FAILED", "\"not_run\":false");
                harness.mTime.advanceTimeBy(Duration.ofSeconds(11));
            }
        }
    }

    @Test
    void saysNotRunWhenTheEngineCannotBeReached() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.addServer("engine-1", "127.0.0.1:11", BackendKind.MODEL_ENGINE);
            HttpResponse<String> refused = harness.await(harness.quote(false), STEP);
            assertThat(refused.body()).contains("NO_BACKEND_SERVER", "\"not_run\":true");
            assertThat(harness.mEngine.mRequests).isEmpty();
            harness.awaitTrue(() -> harness.mSettled.equals(List.of(0L)));
        }
    }
}
