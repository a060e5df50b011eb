package org.vanillaslip.internal.proofs.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The list file of an example deployment, with loopback addresses for the backend servers. */
final class DeploymentLists {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ObjectNode mLists;

    private DeploymentLists(ObjectNode lists) {
        mLists = lists;
    }

    /** Reads a list file and assigns each backend server a free loopback port. */
    static DeploymentLists read(Path file) {
        try {
            ObjectNode lists = (ObjectNode) MAPPER.readTree(Files.readString(file));
            for (JsonNode server : lists.withArray("backend_servers")) {
                ((ObjectNode) server).put("address", "127.0.0.1:" + Ports.findFreePort());
            }
            return new DeploymentLists(lists);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the entries of the backend servers. */
    List<JsonNode> backendServers() {
        return elements("backend_servers");
    }

    /** Returns the names of the failure domains. */
    List<String> failureDomains() {
        return elements("failure_domains").stream()
                .map(entry -> entry.path("name").asText())
                .toList();
    }

    /** Returns the engine arguments that set the memory requirement of each model. */
    List<String> modelMemoryArguments() {
        List<String> arguments = new ArrayList<>();
        for (JsonNode model : elements("models")) {
            arguments.add("--memory-of");
            arguments.add(model.path("name").asText() + "=" + model.path("memory_bytes").asText());
        }
        return arguments;
    }

    /** Writes the lists to a file that the command-line tool can apply. */
    void write(Path file) {
        try {
            Files.writeString(file, mLists.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<JsonNode> elements(String name) {
        List<JsonNode> elements = new ArrayList<>();
        mLists.withArray(name).forEach(elements::add);
        return elements;
    }
}
