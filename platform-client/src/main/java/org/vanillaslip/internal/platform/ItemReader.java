package org.vanillaslip.internal.platform;

import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Route;
import org.vanillaslip.SlowStart;
import org.vanillaslip.WorkspaceEntry;

/** Reads the fields of each kind of item. */
final class ItemReader {

    ConfigurationItem read(ItemKind kind, String name, FieldReader fields) {
        ConfigurationItem item =
                switch (kind) {
                    case PLAN -> plan(name, fields);
                    case WORKSPACE ->
                            new WorkspaceEntry(
                                    name, fields.text("plan"), fields.texts("keyDigests"));
                    case ROUTE -> route(name, fields);
                    case MODEL -> model(name, fields);
                    case BACKEND_SERVER -> server(name, fields);
                    case FAILURE_DOMAIN -> new FailureDomainEntry(name, fields.flag("drained"));
                    case HOST -> new HostEntry(name, fields.flag("drained"));
                };
        fields.refuseUnknownFields();
        return item;
    }

    private static Plan plan(String name, FieldReader fields) {
        return new Plan(
                name,
                fields.texts("models"),
                fields.texts("adapters"),
                fields.number("tokensPerSecond"),
                fields.number("burstTokens"));
    }

    private static Route route(String name, FieldReader fields) {
        return new Route(
                name,
                fields.oneOf("kind", BackendKind.class),
                fields.text("pool"),
                fields.flag("open"),
                fields.oneOf("requestClass", RequestClass.class),
                fields.flag("repeatable"),
                fields.millis("deadlineMillis"));
    }

    private static Model model(String name, FieldReader fields) {
        FieldReader times = fields.object("loadTimes");
        LoadTimes loadTimes =
                new LoadTimes(
                        times.millis("fromMemoryMillis"),
                        times.millis("fromDiskMillis"),
                        times.millis("fromRemoteMillis"));
        times.refuseUnknownFields();
        return new Model(
                name,
                fields.text("version"),
                fields.text("pool"),
                fields.number("memoryBytes"),
                fields.number("adapterMemoryBytes"),
                fields.smallNumbers("replicas"),
                loadTimes);
    }

    private static BackendServer server(String name, FieldReader fields) {
        FieldReader start = fields.object("slowStart");
        SlowStart slowStart =
                new SlowStart(
                        start.smallNumber("initialConcurrency"),
                        start.smallNumber("fullConcurrency"),
                        start.millis("rampMillis"));
        start.refuseUnknownFields();
        return new BackendServer(
                name,
                new FailureDomain(fields.text("failureDomain")),
                fields.text("address"),
                fields.oneOf("kind", BackendKind.class),
                fields.text("pool"),
                fields.text("controlShard"),
                fields.number("memoryBytes"),
                fields.smallNumber("accelerators"),
                fields.flag("checksFencing"),
                fields.flag("drained"),
                slowStart);
    }
}
