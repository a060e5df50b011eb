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

/** Guards against API keys that reach a backend server or are accepted after revocation. */
@DisplayName("key-isolation")
class KeyIsolationTest {

    private static final String API_KEY = GatewayHarness.API_KEY;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"booking_reference\":\"B-1\",\"key\":\"%s\"}",
                "{\"booking_reference\":\"B-1\",\"deep\":[1,{\"a\":\"Bearer %s\"}]}",
                "{\"booking_reference\":\"B-1\",\"%s\":true}",
                "[\"%s\",{\"booking_reference\":\"B-1\"}]"
            })
    void removesTheKeyFromForwardedRequests(String body) {
        try (GatewayHarness harness = new GatewayHarness()) {
            String encoded = URLEncoder.encode(API_KEY, StandardCharsets.UTF_8).replace("s", "%73");
            HttpResponse<String> response =
                    harness.awaitResponse(
                            harness.post(
                                    GatewayHarness.PLAIN_SERVICE_PATH
                                            + "?a=1&key="
                                            + API_KEY
                                            + "&b="
                                            + encoded
                                            + "&c=2",
                                    body.formatted(API_KEY),
                                    "X-Api-Key",
                                    API_KEY,
                                    "Cookie",
                                    "k=" + API_KEY,
                                    "X-Anything",
                                    API_KEY,
                                    "Accept-Language",
                                    API_KEY,
                                    "Idempotency-Key",
                                    API_KEY));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(harness.mService.records().calls())
                    .singleElement()
                    .satisfies(
                            call -> {
                                assertThat(call.toString()).doesNotContain(API_KEY, "%73");
                                assertThat(call.uri())
                                        .isEqualTo(GatewayHarness.PLAIN_SERVICE_PATH + "?a=1&c=2");
                                assertThat(call.headers().keySet())
                                        .doesNotContain("authorization", "x-api-key", "cookie");
                            });
            assertThat(harness.mLogEvents.toString()).doesNotContain(API_KEY);
        }
    }

    @Test
    void findsTheKeyInJsonEscapesAndRefusesBodiesItCannotFilter() {
        try (GatewayHarness harness = new GatewayHarness()) {
            String escaped = API_KEY.replace("s", "\\u0073");
            harness.awaitResponse(harness.post("/stock", "{\"key\":\"" + escaped + "\",\"a\":1}"));
            assertThat(harness.mService.records().calls().get(0).body()).isEqualTo("{\"a\":1}");
            for (String body :
                    new String[] {
                        API_KEY,
                        "\"" + API_KEY + "\"",
                        "{\"a\":\"" + escaped + "\",\"a\":1}",
                        "{} " + API_KEY
                    }) {
                HttpResponse<String> refused = harness.awaitResponse(harness.post("/stock", body));
                assertThat(refused.body()).contains("MALFORMED_BODY").doesNotContain(API_KEY);
            }
            HttpResponse<String> compressed =
                    harness.awaitResponse(harness.post("/stock", "x", "Content-Encoding", "gzip"));
            assertThat(compressed.body()).contains("MALFORMED_BODY");
            HttpResponse<String> prompt =
                    harness.awaitResponse(
                            harness.post(
                                    "/quotes",
                                    "{\"model\":\"edge\",\"prompt\":\"" + API_KEY + "\"}"));
            assertThat(prompt.body()).contains("MALFORMED_BODY");
            assertThat(harness.mEngine.mReceivedRequests).isEmpty();
            assertThat(harness.mService.records().calls()).hasSize(1);
        }
    }

    @Test
    void refusesUnknownKeysAndModelsNotInThePlan() {
        try (GatewayHarness harness = new GatewayHarness()) {
            HttpResponse<String> adapter =
                    harness.awaitResponse(
                            harness.post("/quotes", "{\"model\":\"edge:pine\",\"prompt\":\"a\"}"));
            assertThat(adapter.body()).contains("MODEL_NOT_IN_PLAN");
            harness.configure(harness.configuration(Set.of("another"), false));
            assertThat(harness.awaitResponse(harness.postQuote(false)).body())
                    .contains("UNKNOWN_KEY");
        }
    }

    @Test
    void endsRunningStreamsWhenTheKeyIsRevoked() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mEngine.mResponseScripts.add(
                    (id, offset) -> FakeEngine.tokenEvents(id, 0, 1).concatWith(Flux.never()));
            var running = harness.postQuote(true);
            harness.awaitCondition(() -> !harness.mEngine.mReceivedRequests.isEmpty());
            harness.configure(harness.configuration(Set.of(), false));
            HttpResponse<String> response = harness.awaitResponse(running, Duration.ofMillis(1));
            assertThat(response.body()).contains("KEY_WITHDRAWN").doesNotContain("[DONE]");
            harness.awaitCondition(() -> !harness.mEngine.mCancelledRequestIds.isEmpty());
        }
    }

    @Test
    void refusesWaitingRequestsWhenTheKeyIsRevoked() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(false);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            harness.configure(harness.configuration(Set.of(), false));
            HttpResponse<String> response = harness.awaitResponse(waiting, Duration.ZERO);
            assertThat(response.body()).contains("UNKNOWN_KEY", "\"not_run\":true");
        }
    }
}
