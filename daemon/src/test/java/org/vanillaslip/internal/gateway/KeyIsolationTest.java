package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;

/** Guards against keys that reach a backend server or work after they were revoked. */
@DisplayName("key-isolation")
class KeyIsolationTest {

    private static final String KEY = GatewayHarness.KEY;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"booking_reference\":\"B-1\",\"key\":\"%s\"}",
                "{\"booking_reference\":\"B-1\",\"deep\":[1,{\"a\":\"Bearer %s\"}]}",
                "{\"booking_reference\":\"B-1\",\"%s\":true}",
                "[\"%s\",{\"booking_reference\":\"B-1\"}]"
            })
    void noBackendServerSeesTheKey(String body) {
        try (GatewayHarness harness = new GatewayHarness()) {
            String encoded = URLEncoder.encode(KEY, StandardCharsets.UTF_8).replace("s", "%73");
            HttpResponse<String> answer =
                    harness.await(
                            harness.post(
                                    GatewayHarness.PATH
                                            + "?a=1&key="
                                            + KEY
                                            + "&b="
                                            + encoded
                                            + "&c=2",
                                    body.formatted(KEY),
                                    "X-Api-Key",
                                    KEY,
                                    "Cookie",
                                    "k=" + KEY,
                                    "X-Anything",
                                    KEY,
                                    "Accept-Language",
                                    KEY,
                                    "Idempotency-Key",
                                    KEY));
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(harness.mService.records().calls())
                    .singleElement()
                    .satisfies(
                            call -> {
                                assertThat(call.toString()).doesNotContain(KEY, "%73");
                                assertThat(call.uri()).isEqualTo(GatewayHarness.PATH + "?a=1&c=2");
                                assertThat(call.headers().keySet())
                                        .doesNotContain("authorization", "x-api-key", "cookie");
                            });
            assertThat(harness.mLog.toString()).doesNotContain(KEY);
        }
    }

    @Test
    void findsTheKeyBehindJsonEscapesAndRefusesBodiesThatHideIt() {
        try (GatewayHarness harness = new GatewayHarness()) {
            String escaped = KEY.replace("s", "\\u0073");
            harness.await(harness.post("/stock", "{\"key\":\"" + escaped + "\",\"a\":1}"));
            assertThat(harness.mService.records().calls().get(0).body()).isEqualTo("{\"a\":1}");
            for (String body :
                    new String[] {
                        KEY, "\"" + KEY + "\"", "{\"a\":\"" + escaped + "\",\"a\":1}", "{} " + KEY
                    }) {
                HttpResponse<String> refused = harness.await(harness.post("/stock", body));
                assertThat(refused.body()).contains("MALFORMED_BODY").doesNotContain(KEY);
            }
            HttpResponse<String> packed =
                    harness.await(harness.post("/stock", "x", "Content-Encoding", "gzip"));
            assertThat(packed.body()).contains("MALFORMED_BODY");
            HttpResponse<String> prompt =
                    harness.await(
                            harness.post(
                                    "/quotes", "{\"model\":\"edge\",\"prompt\":\"" + KEY + "\"}"));
            assertThat(prompt.body()).contains("MALFORMED_BODY");
            assertThat(harness.mEngine.mRequests).isEmpty();
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void refusesUnknownKeysAndModelsOutsideThePlan() {
        try (GatewayHarness harness = new GatewayHarness()) {
            HttpResponse<String> adapter =
                    harness.await(
                            harness.post("/quotes", "{\"model\":\"edge:pine\",\"prompt\":\"a\"}"));
            assertThat(adapter.body()).contains("MODEL_NOT_IN_PLAN");
            harness.configure(harness.configuration(Set.of("another"), false));
            assertThat(harness.await(harness.quote(false)).body()).contains("UNKNOWN_KEY");
        }
    }

    @Test
    void revocationEndsRunningStreams() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mScripts.add(
                    (id, offset) -> FakeEngine.tokens(id, 0, 1).concatWith(Flux.never()));
            var running = harness.quote(true);
            harness.awaitTrue(() -> !harness.mEngine.mRequests.isEmpty());
            harness.configure(harness.configuration(Set.of(), false));
            HttpResponse<String> answer = harness.await(running, Duration.ofMillis(1));
            assertThat(answer.body()).contains("KEY_WITHDRAWN").doesNotContain("[DONE]");
            harness.awaitTrue(() -> !harness.mEngine.mCancelled.isEmpty());
        }
    }

    @Test
    void revocationEndsWaitingRequests() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.quote(false);
            harness.awaitTrue(() -> harness.waiting() == 1);
            harness.configure(harness.configuration(Set.of(), false));
            HttpResponse<String> answer = harness.await(waiting, Duration.ZERO);
            assertThat(answer.body()).contains("UNKNOWN_KEY", "\"not_run\":true");
        }
    }
}
