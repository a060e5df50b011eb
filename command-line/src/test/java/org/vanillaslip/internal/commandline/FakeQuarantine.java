package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** A host that keeps subjects from the backend servers. */
final class FakeQuarantine implements QuarantineClient {

    final Set<String> mSubjects = new TreeSet<>();
    private final String mAddress;

    FakeQuarantine(String address) {
        mAddress = address;
    }

    @Override
    public Optional<JsonNode> list(String address) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode quarantined = json.putArray("quarantined");
        mSubjects.forEach(
                subject ->
                        quarantined
                                .addObject()
                                .put("subject", subject)
                                .put("remaining_millis", 1000));
        return address.equals(mAddress) ? Optional.of(json) : Optional.empty();
    }

    @Override
    public Optional<Boolean> release(String address, String subject) {
        return address.equals(mAddress) ? Optional.of(mSubjects.remove(subject)) : Optional.empty();
    }
}
