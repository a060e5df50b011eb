package org.vanillaslip.internal.relay;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.vanillaslip.internal.quarantine.PromptFaultExchange;

/** Lists the parts and calls that are kept from the servers, and releases one. */
final class QuarantinePage {

    static final String PATH = "/quarantine";
    private static final String SUBJECT = "subject";

    private final PromptFaultExchange mPromptFaults;

    QuarantinePage(PromptFaultExchange promptFaults) {
        mPromptFaults = promptFaults;
    }

    TextPageServer.Page handle(TextPageServer.PageRequest request) {
        return switch (request.method()) {
            case "GET" -> new TextPageServer.Page(200, list().toString());
            case "DELETE" -> release(request.query());
            default -> new TextPageServer.Page(405, "use GET or DELETE\n");
        };
    }

    private ObjectNode list() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode quarantined = json.putArray("quarantined");
        mPromptFaults
                .quarantined()
                .forEach(
                        entry ->
                                quarantined
                                        .addObject()
                                        .put(SUBJECT, entry.part())
                                        .put("remaining_millis", entry.remaining().toMillis()));
        return json;
    }

    private TextPageServer.Page release(String query) {
        List<String> subjects =
                new QueryStringDecoder(query, false).parameters().getOrDefault(SUBJECT, List.of());
        boolean released = subjects.size() == 1 && mPromptFaults.release(subjects.get(0));
        return released
                ? new TextPageServer.Page(200, "released\n")
                : new TextPageServer.Page(404, "not in quarantine\n");
    }
}
