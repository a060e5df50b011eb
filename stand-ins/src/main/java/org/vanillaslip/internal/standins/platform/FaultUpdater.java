package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** Applies the body of {@code POST /faults}; faults without a field remain unchanged. */
final class FaultUpdater {

    private static final Set<String> KNOWN_FIELDS =
            Set.of(
                    "outage",
                    "latencyMillis",
                    "lostWriteAnswers",
                    "silentWatches",
                    "throttledCalls",
                    "retryAfterSeconds",
                    "refusedFailureDomains",
                    "breakWatches",
                    "forgetHistory");

    private final PlatformFaults mFaults;
    private final ObjectStorage mStorage;

    FaultUpdater(PlatformFaults faults, ObjectStorage storage) {
        mFaults = faults;
        mStorage = storage;
    }

    void apply(ObjectNode body) {
        body.fieldNames().forEachRemaining(FaultUpdater::requireKnownField);
        if (body.has("outage")) {
            mFaults.setOutage(body.get("outage").asBoolean());
        }
        if (body.has("latencyMillis")) {
            mFaults.setLatency(Duration.ofMillis(body.get("latencyMillis").asLong()));
        }
        if (body.has("lostWriteAnswers")) {
            mFaults.setLostWriteAnswers(body.get("lostWriteAnswers").asInt());
        }
        if (body.has("silentWatches")) {
            mFaults.setSilentWatches(body.get("silentWatches").asBoolean());
        }
        if (body.has("refusedFailureDomains")) {
            Set<String> domains = new HashSet<>();
            for (JsonNode domain : body.get("refusedFailureDomains")) {
                domains.add(domain.asText());
            }
            mFaults.setRefusedFailureDomains(domains);
        }
        if (body.has("throttledCalls")) {
            mFaults.setThrottledCalls(
                    body.get("throttledCalls").asInt(),
                    Duration.ofSeconds(body.path("retryAfterSeconds").asLong(1)));
        }
        if (body.path("breakWatches").asBoolean()) {
            mStorage.breakWatches();
        }
        if (body.path("forgetHistory").asBoolean()) {
            mStorage.forgetHistory();
        }
    }

    private static void requireKnownField(String field) {
        if (!KNOWN_FIELDS.contains(field)) {
            throw new IllegalArgumentException(
                    "Unknown fault field '" + field + "'; known fields are " + KNOWN_FIELDS + ".");
        }
    }
}
