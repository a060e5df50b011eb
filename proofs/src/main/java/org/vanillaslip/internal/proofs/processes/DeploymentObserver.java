package org.vanillaslip.internal.proofs.processes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Queries the state of a deployment's hosts, platform, engines and services over HTTP. */
public final class DeploymentObserver {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment mDeployment;

    /** Creates an observer of the given deployment. */
    public DeploymentObserver(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Returns how many times all services together have executed the booking. */
    public int countExecutions(String bookingReference) {
        return serviceNames().stream()
                .mapToInt(name -> getPage(name, "/executions").path(bookingReference).asInt(0))
                .sum();
    }

    /** Returns everything that engines and services have received, as one JSON text per server. */
    public List<String> receivedContents() {
        List<String> texts = new ArrayList<>();
        engineNames().forEach(name -> texts.add(getPage(name, "/received").toString()));
        serviceNames().forEach(name -> texts.add(getPage(name, "/records").toString()));
        return texts;
    }

    /**
     * Returns the number of requests that a backend server has received; for an engine, the number
     * of completion requests.
     */
    public int countCallsTo(String server) {
        return isEngine(server)
                ? (int)
                        texts(getPage(server, "/received"))
                                .filter("/v1/completions"::equals)
                                .count()
                : getPage(server, "/records").size();
    }

    /** Returns the protocol violations by their callers that the engines report. */
    public List<String> violations() {
        return engineNames().stream()
                .flatMap(name -> texts(getPage(name, "/v1/status").path("violations")))
                .toList();
    }

    /** Returns the state of a model without adapter on an engine, or an empty string. */
    public String modelState(String engine, String model) {
        for (JsonNode resident : getPage(engine, "/v1/status").path("resident")) {
            if (resident.path("model").asText().equals(model)
                    && resident.path("adapter").asText().isEmpty()) {
                return resident.path("state").asText();
            }
        }
        return "";
    }

    /**
     * Returns the number of replicas of a model without adapter that are resident on the engines of
     * the failure domain.
     */
    public int countReplicas(String failureDomain, String model) {
        return (int)
                engineNames().stream()
                        .filter(name -> name.endsWith("-" + failureDomain))
                        .flatMap(name -> stream(getPage(name, "/v1/status").path("resident")))
                        .filter(resident -> resident.path("model").asText().equals(model))
                        .filter(resident -> resident.path("adapter").asText().isEmpty())
                        .count();
    }

    /** Returns the name of the host that holds the lease of a control shard, or an empty string. */
    public String leaseHolder(String shard) {
        return lease(shard).path("holder").asText("");
    }

    /** Returns the term of the lease of a control shard. */
    public long leaseTerm(String shard) {
        return lease(shard).path("term").asLong();
    }

    /** Returns the highest version of the configuration items on the platform. */
    public long configurationVersion() {
        return stream(getPlatformObject("configuration").path("items"))
                .mapToLong(item -> item.path("metadata").path("resourceVersion").asLong())
                .max()
                .orElseThrow();
    }

    /** Returns the configuration version that a host has applied. */
    public long configurationVersion(HostProcess host) {
        return parseJson(mDeployment.caller().get(host.gatewayAddress(), "/status").body())
                .path("configuration_version")
                .asLong();
    }

    /** Parses a JSON text; an empty text results in a missing node. */
    public static JsonNode parseJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private JsonNode lease(String shard) {
        return getPlatformObject("controlshards/" + shard).path("spec").path("lease");
    }

    private JsonNode getPlatformObject(String path) {
        return parseJson(
                mDeployment
                        .caller()
                        .get(mDeployment.platformAddress(), "/apis/vanillaslip.org/v1/" + path)
                        .body());
    }

    private JsonNode getPage(String server, String path) {
        return parseJson(mDeployment.caller().get(mDeployment.backendAddress(server), path).body());
    }

    private List<String> engineNames() {
        return mDeployment.backendServerNames().stream()
                .filter(DeploymentObserver::isEngine)
                .toList();
    }

    private List<String> serviceNames() {
        return mDeployment.backendServerNames().stream().filter(name -> !isEngine(name)).toList();
    }

    private static boolean isEngine(String server) {
        return server.startsWith("engine");
    }

    private static Stream<JsonNode> stream(JsonNode array) {
        List<JsonNode> elements = new ArrayList<>();
        array.forEach(elements::add);
        return elements.stream();
    }

    private static Stream<String> texts(JsonNode array) {
        return stream(array).map(JsonNode::asText);
    }
}
