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

/** Reads configuration items of all kinds from their JSON fields. */
final class ItemReader {

    ConfigurationItem read(ItemKind kind, String name, FieldReader fields) {
        ConfigurationItem item =
                switch (kind) {
                    case PLAN -> plan(name, fields);
                    case WORKSPACE ->
                            new WorkspaceEntry(
                                    name, fields.string("plan"), fields.strings("keyDigests"));
                    case ROUTE -> route(name, fields);
                    case MODEL -> model(name, fields);
                    case BACKEND_SERVER -> backendServer(name, fields);
                    case FAILURE_DOMAIN -> new FailureDomainEntry(name, fields.bool("drained"));
                    case HOST -> new HostEntry(name, fields.bool("drained"));
                };
        fields.rejectUnknownFields();
        return item;
    }

    private static Plan plan(String name, FieldReader fields) {
        return new Plan(
                name,
                fields.strings("models"),
                fields.strings("adapters"),
                fields.longInteger("tokensPerSecond"),
                fields.longInteger("burstTokens"));
    }

    private static Route route(String name, FieldReader fields) {
        return new Route(
                name,
                fields.enumConstant("kind", BackendKind.class),
                fields.string("pool"),
                fields.bool("open"),
                fields.enumConstant("requestClass", RequestClass.class),
                fields.bool("repeatable"),
                fields.durationMillis("deadlineMillis"));
    }

    private static Model model(String name, FieldReader fields) {
        FieldReader loadTimeFields = fields.object("loadTimes");
        LoadTimes loadTimes =
                new LoadTimes(
                        loadTimeFields.durationMillis("fromMemoryMillis"),
                        loadTimeFields.durationMillis("fromDiskMillis"),
                        loadTimeFields.durationMillis("fromRemoteMillis"));
        loadTimeFields.rejectUnknownFields();
        return new Model(
                name,
                fields.string("version"),
                fields.string("pool"),
                fields.longInteger("memoryBytes"),
                fields.longInteger("adapterMemoryBytes"),
                fields.integerMap("replicas"),
                loadTimes);
    }

    private static BackendServer backendServer(String name, FieldReader fields) {
        FieldReader slowStartFields = fields.object("slowStart");
        SlowStart slowStart =
                new SlowStart(
                        slowStartFields.integer("initialConcurrency"),
                        slowStartFields.integer("fullConcurrency"),
                        slowStartFields.durationMillis("rampMillis"));
        slowStartFields.rejectUnknownFields();
        return new BackendServer(
                name,
                new FailureDomain(fields.string("failureDomain")),
                fields.string("address"),
                fields.enumConstant("kind", BackendKind.class),
                fields.string("pool"),
                fields.string("controlShard"),
                fields.longInteger("memoryBytes"),
                fields.integer("accelerators"),
                fields.bool("checksFencing"),
                fields.bool("drained"),
                slowStart);
    }
}
