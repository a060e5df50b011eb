package org.vanillaslip.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against repeated calls that are told apart, and different calls that are not. */
class CallFingerprintTest {

    private static final Optional<String> KEY = Optional.of("key");

    @Test
    void aRepeatedCallHasTheSameFingerprintWhateverItsOtherHeaders() {
        assertThat(fingerprint("POST", "a.example", "/x/1", KEY, "id-1", "bo", "dy"))
                .isEqualTo(fingerprint("POST", "A.example:80", "/x/1", KEY, "id-2", "body"));
    }

    @Test
    void otherCallsHaveOtherFingerprints() {
        String known = fingerprint("POST", "a.example", "/x/1", KEY, "id", "body");

        assertThat(fingerprint("PUT", "a.example", "/x/1", KEY, "id", "body")).isNotEqualTo(known);
        assertThat(fingerprint("POST", "b.example", "/x/1", KEY, "id", "body")).isNotEqualTo(known);
        assertThat(fingerprint("POST", "a.example", "/x/2", KEY, "id", "body")).isNotEqualTo(known);
        assertThat(fingerprint("POST", "a.example", "/x/1", KEY, "id", "other"))
                .isNotEqualTo(known);
    }

    /** Guards against a caller that has the call of another caller blamed. */
    @Test
    void theSameCallOfAnotherCallerHasAnotherFingerprint() {
        String known = fingerprint("GET", "a.example", "/x/1", KEY, "id", "");

        assertThat(fingerprint("GET", "a.example", "/x/1", Optional.of("other"), "id", ""))
                .isNotEqualTo(known);
        assertThat(fingerprint("GET", "a.example", "/x/1", Optional.empty(), "id", ""))
                .isNotEqualTo(known);
    }

    private static String fingerprint(
            String method,
            String host,
            String uri,
            Optional<String> apiKey,
            String id,
            String... chunks) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", host).set("X-Attempt-Id", id);
        BodyDigest digest = new BodyDigest();
        for (String chunk : chunks) {
            digest.add(chunk.getBytes(StandardCharsets.UTF_8));
        }
        return CallFingerprint.of(
                new ReceivedCall(
                        new CallerConnection(new EmbeddedChannel()),
                        HttpMethod.valueOf(method),
                        uri,
                        headers,
                        new byte[0],
                        digest.finish(),
                        0),
                apiKey);
    }
}
