package org.vanillaslip.internal.quota;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Converts share tables to and from their stored JSON. */
final class ShareTableFormat {

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private ShareTableFormat() {}

    static ObjectNode write(ShareTable table) {
        ObjectNode spec = NODES.objectNode();
        spec.put("generation", table.generation());
        spec.put("failureDomain", table.failureDomain());
        spec.put("domainParts", table.domainParts());
        ArrayNode shares = spec.putArray("shares");
        new TreeMap<>(table.shares())
                .values()
                .forEach(
                        share ->
                                shares.addObject()
                                        .put("host", share.host())
                                        .put("parts", share.parts())
                                        .put("heldParts", share.heldParts())
                                        .put("generation", share.generation()));
        return spec;
    }

    static ShareTable read(JsonNode spec) {
        Map<String, Share> shares = new HashMap<>();
        for (JsonNode share : spec.path("shares")) {
            String host = share.path("host").asText();
            shares.put(
                    host,
                    new Share(
                            host,
                            share.path("parts").asLong(),
                            share.path("heldParts").asLong(),
                            share.path("generation").asLong()));
        }
        return new ShareTable(
                spec.path("generation").asLong(),
                spec.path("failureDomain").asText(),
                spec.path("domainParts").asLong(),
                shares);
    }

    static ObjectNode writeDomains(Map<String, Long> partsByDomain) {
        ObjectNode spec = NODES.objectNode();
        ObjectNode parts = spec.putObject("partsByDomain");
        new TreeMap<>(partsByDomain).forEach(parts::put);
        return spec;
    }

    static Map<String, Long> readDomains(JsonNode spec) {
        Map<String, Long> parts = new HashMap<>();
        spec.path("partsByDomain")
                .fields()
                .forEachRemaining(entry -> parts.put(entry.getKey(), entry.getValue().asLong()));
        return parts;
    }
}
