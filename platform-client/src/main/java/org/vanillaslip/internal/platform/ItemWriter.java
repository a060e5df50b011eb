package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeMap;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.Route;
import org.vanillaslip.WorkspaceEntry;

/** Writes configuration items of all kinds as JSON fields; sets and map keys are sorted. */
final class ItemWriter {

    void write(ConfigurationItem item, ObjectNode node) {
        if (item instanceof Plan plan) {
            writePlan(plan, node);
        } else if (item instanceof WorkspaceEntry workspace) {
            node.put("plan", workspace.plan());
            writeStrings(workspace.keyDigests(), node.putArray("keyDigests"));
        } else if (item instanceof Route route) {
            writeRoute(route, node);
        } else if (item instanceof Model model) {
            writeModel(model, node);
        } else if (item instanceof BackendServer server) {
            writeBackendServer(server, node);
        } else if (item instanceof FailureDomainEntry failureDomain) {
            node.put("drained", failureDomain.drained());
        } else if (item instanceof HostEntry host) {
            node.put("drained", host.drained());
        }
    }

    private static void writePlan(Plan plan, ObjectNode node) {
        writeStrings(plan.models(), node.putArray("models"));
        writeStrings(plan.adapters(), node.putArray("adapters"));
        node.put("tokensPerSecond", plan.tokensPerSecond());
        node.put("burstTokens", plan.burstTokens());
    }

    private static void writeRoute(Route route, ObjectNode node) {
        node.put("kind", route.kind().name());
        node.put("pool", route.pool());
        node.put("open", route.open());
        node.put("requestClass", route.requestClass().name());
        node.put("repeatable", route.repeatable());
        node.put("deadlineMillis", route.deadline().toMillis());
    }

    private static void writeModel(Model model, ObjectNode node) {
        node.put("version", model.version());
        node.put("pool", model.pool());
        node.put("memoryBytes", model.memoryBytes());
        node.put("adapterMemoryBytes", model.adapterMemoryBytes());
        ObjectNode replicas = node.putObject("replicas");
        new TreeMap<>(model.replicas()).forEach(replicas::put);
        node.putObject("loadTimes")
                .put("fromMemoryMillis", model.loadTimes().fromMemory().toMillis())
                .put("fromDiskMillis", model.loadTimes().fromDisk().toMillis())
                .put("fromRemoteMillis", model.loadTimes().fromRemote().toMillis());
    }

    private static void writeBackendServer(BackendServer server, ObjectNode node) {
        node.put("failureDomain", server.failureDomain().name());
        node.put("address", server.address());
        node.put("kind", server.kind().name());
        node.put("pool", server.pool());
        node.put("controlShard", server.controlShard());
        node.put("memoryBytes", server.memoryBytes());
        node.put("accelerators", server.accelerators());
        node.put("checksFencing", server.checksFencing());
        node.put("drained", server.drained());
        node.putObject("slowStart")
                .put("initialConcurrency", server.slowStart().initialConcurrency())
                .put("fullConcurrency", server.slowStart().fullConcurrency())
                .put("rampMillis", server.slowStart().ramp().toMillis());
    }

    private static void writeStrings(Set<String> strings, ArrayNode array) {
        strings.stream().sorted().forEach(array::add);
    }
}
