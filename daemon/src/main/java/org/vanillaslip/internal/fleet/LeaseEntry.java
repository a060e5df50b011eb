package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.lease.LeaseRecord;

/**
 * The lease as it is stored.
 *
 * @param quiet time after the write during which the holder sends no orders
 * @param lateOrders time after the write during which servers may execute orders of earlier
 *     holders, or get no order because they have just done so
 * @param unanswered servers that may execute orders of the host that released the lease or of
 *     earlier holders; empty if they are unknown
 */
record LeaseEntry(
        LeaseRecord record, Duration quiet, Duration lateOrders, Optional<Set<String>> unanswered) {

    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String NONCE = "nonce";
    private static final String VALIDITY = "validity_millis";
    private static final String QUIET = "quiet_millis";
    private static final String LATE_ORDERS = "late_orders_millis";
    private static final String UNANSWERED = "unanswered";

    /** Longer than servers take to execute an order plus the handover delay. */
    private static final Duration MAX_LATE_ORDERS = Duration.ofSeconds(20);

    static LeaseEntry decode(ObjectNode spec) {
        long maxMillis = MAX_LATE_ORDERS.toMillis();
        return new LeaseEntry(
                new LeaseRecord(
                        spec.path(HOLDER).asText(),
                        spec.path(TERM).asLong(),
                        spec.path(NONCE).asText(),
                        spec.path(VALIDITY).asLong()),
                Duration.ofMillis(spec.path(QUIET).asLong()),
                Duration.ofMillis(Math.min(maxMillis, spec.path(LATE_ORDERS).asLong(maxMillis))),
                Optional.of(spec.path(UNANSWERED))
                        .filter(JsonNode::isArray)
                        .map(LeaseEntry::toNames));
    }

    private static Set<String> toNames(JsonNode array) {
        Set<String> names = new HashSet<>();
        array.forEach(name -> names.add(name.asText()));
        return names;
    }

    ObjectNode encode() {
        ObjectNode spec =
                JsonNodeFactory.instance
                        .objectNode()
                        .put(HOLDER, record.holder())
                        .put(TERM, record.term())
                        .put(NONCE, record.nonce())
                        .put(VALIDITY, record.validityMillis())
                        .put(QUIET, quiet.toMillis())
                        .put(LATE_ORDERS, lateOrders.toMillis());
        unanswered.ifPresent(
                names -> {
                    ArrayNode array = spec.putArray(UNANSWERED);
                    names.stream().sorted().forEach(array::add);
                });
        return spec;
    }
}
