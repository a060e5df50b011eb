package org.vanillaslip.internal.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Guards the engine protocol, on which tests of placement and forwarding rely. */
class EngineServerTest {

    private static final Duration MAX_WAIT = Duration.ofSeconds(10);

    private final EngineServer mServer =
            EngineServer.start(EngineSettings.forTests("e"), System::nanoTime);
    private final HttpClient mHttp = HttpClient.create().baseUrl("http://" + mServer.address());

    @AfterEach
    void close() {
        mServer.close();
    }

    @Test
    void streamsTheTokensOfALoadedModelFromTheOffset() {
        load(1, 1, "m");
        String whole = postCompletion("r1", 0, 3);
        assertThat(whole)
                .contains("\"request_id\":\"r1\"", "\"offset\":0", "\"completion_tokens\":3");
        assertThat(whole).endsWith("data: [DONE]\n\n");
        assertThat(postCompletion("r2", 2, 3))
                .contains("\"offset\":2")
                .doesNotContain("\"offset\":1");
    }

    @Test
    void refusesOutdatedTermsOtherIncarnationsAndOvercommittedMemory() {
        load(1, 5, "m");
        assertThat(postLoadOrder(2, 4, mServer.incarnation(), "n")).contains("stale_term");
        assertThat(postLoadOrder(3, 5, "other", "n")).contains("incarnation_mismatch");
        for (int i = 0; i < 9; i++) {
            load(10 + i, 5, "x" + i);
        }
        assertThat(postLoadOrder(30, 5, mServer.incarnation(), "y")).contains("out_of_memory");
        assertThat(mServer.violations()).singleElement().asString().contains("overcommitted");
    }

    @Test
    void executesADecisionOnceAndRecordsASecondDecisionForTheSameModel() {
        load(1, 1, "m");
        postLoadOrder(1, 1, mServer.incarnation(), "m");
        assertThat(mServer.violations()).isEmpty();
        postLoadOrder(2, 1, mServer.incarnation(), "m");
        assertThat(mServer.violations()).singleElement().asString().contains("loaded twice");
    }

    @Test
    void aRestartUnloadsAllModelsAndChangesTheIncarnationButNotTheAddress() {
        load(1, 1, "m");
        String before = mServer.incarnation();
        mServer.restart();
        assertThat(mServer.incarnation()).isNotEqualTo(before);
        assertThat(get("/v1/status")).contains("\"resident\":[]", "\"m\":\"disk\"");
        assertThat(post("/v1/completions", "{\"model\":\"m\"}", "r", 0)).contains("not loaded");
    }

    @Test
    void faultsChangeResponsesAndReceivedValuesAreRecorded() {
        load(1, 1, "m");
        post("/faults", "{\"wrong_request_id\":true,\"times\":1}", "f", 0);
        assertThat(postCompletion("r1", 0, 1)).contains("other-r1");
        assertThat(postCompletion("r2", 0, 1)).doesNotContain("other-r2");
        assertThat(mServer.receivedValues()).anyMatch(value -> value.contains("r1"));
        post("/faults", "{\"break_after_tokens\":1}", "f", 0);
        assertThat(postCompletion("r3", 0, 5)).isEqualTo("broken");
    }

    private void load(long decision, long term, String model) {
        assertThat(postLoadOrder(decision, term, mServer.incarnation(), model))
                .contains("decision");
        Mono.fromSupplier(() -> get("/v1/status"))
                .repeat()
                .takeUntil(status -> !status.contains("\"loading\""))
                .blockLast(MAX_WAIT);
    }

    private String postLoadOrder(long decision, long term, String incarnation, String model) {
        String body =
                String.format(
                        "{\"decision\":%d,\"term\":%d,\"incarnation\":\"%s\",\"action\":\"load\","
                                + "\"model\":\"%s\",\"version\":\"1\"}",
                        decision, term, incarnation, model);
        return post("/v1/orders", body, "o", 0);
    }

    private String postCompletion(String requestId, int offset, int tokens) {
        String body = "{\"model\":\"m\",\"prompt\":\"a b\",\"max_tokens\":" + tokens + "}";
        return post("/v1/completions", body, requestId, offset);
    }

    private String post(String path, String body, String requestId, int offset) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String response =
                mHttp.headers(
                                headers ->
                                        headers.set("X-Request-Id", requestId)
                                                .set("X-Resume-Offset", offset))
                        .post()
                        .uri(path)
                        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                        .responseContent()
                        .aggregate()
                        .asString()
                        .onErrorReturn("broken")
                        .block(MAX_WAIT);
        return response == null ? "" : response;
    }

    private String get(String path) {
        return String.valueOf(
                mHttp.get().uri(path).responseContent().aggregate().asString().block(MAX_WAIT));
    }
}
