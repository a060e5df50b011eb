package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;

/** Converts refusals to JSON responses. */
public final class RefusalWriter {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RefusalWriter() {}

    static BufferedResponse response(Refusal refusal, String requestId) {
        return new BufferedResponse(
                refusal.code().httpStatus(),
                "application/json",
                bytes(refusal, requestId),
                refusal.retryAfter()
                        .map(delay -> Map.of("Retry-After", Long.toString(wholeSeconds(delay))))
                        .orElseGet(Map::of));
    }

    /** Returns a refusal as JSON in UTF-8. */
    public static byte[] bytes(Refusal refusal, String requestId) {
        return json(refusal, requestId).getBytes(StandardCharsets.UTF_8);
    }

    static String json(Refusal refusal, String requestId) {
        ResultCode code = refusal.code();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("code", code.number());
        body.put("name", code.name());
        body.put("not_run", code.notRun());
        body.put("message", code.cause());
        body.put("detail", refusal.detail());
        body.put("remedy", code.remedy());
        refusal.retryAfter().ifPresent(delay -> body.put("retry_after_millis", delay.toMillis()));
        body.put("request_id", requestId);
        return body.toString();
    }

    /** Rounds up, because the header holds whole seconds and callers must not retry too early. */
    private static long wholeSeconds(Duration delay) {
        return Math.max(1, delay.plusMillis(999).toSeconds());
    }
}
