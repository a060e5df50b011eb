package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.vanillaslip.internal.attempt.AttemptOutcome;
import org.vanillaslip.internal.attempt.AttemptRecord;

/** Converts attempt records to and from the JSON that the object store keeps. */
final class AttemptRecordJson {

    /** Collection of the object store that holds the attempt records. */
    static final String COLLECTION = "attempts";

    private AttemptRecordJson() {}

    static ObjectNode toJson(AttemptRecord record) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put("nonce", record.nonce());
        spec.put("fingerprint", record.fingerprint());
        record.outcome()
                .ifPresent(
                        outcome ->
                                spec.putObject("outcome")
                                        .put("status", outcome.status())
                                        .put("content_type", outcome.contentType())
                                        .put("body", outcome.bodyBase64()));
        return spec;
    }

    static AttemptRecord fromJson(ObjectNode spec) {
        Optional<AttemptOutcome> outcome =
                Optional.ofNullable(spec.get("outcome"))
                        .map(
                                stored ->
                                        new AttemptOutcome(
                                                stored.path("status").asInt(),
                                                stored.path("content_type").asText(),
                                                stored.path("body").asText()));
        return new AttemptRecord(
                spec.path("nonce").asText(), spec.path("fingerprint").asText(), outcome);
    }
}
