package org.vanillaslip.internal.configuration;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.Route;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.WorkspaceEntry;

/** Builds a snapshot from a set of items, or reports every fault that prevents it. */
public final class ConfigurationValidator {

    /** Validates the items against each other; the snapshot does not contain removed items. */
    public Either<List<Fault>, Configuration> validate(Collection<VersionedItem> versionedItems) {
        long version = versionedItems.stream().mapToLong(VersionedItem::version).max().orElse(0);
        List<ConfigurationItem> items =
                versionedItems.stream().flatMap(item -> item.item().stream()).toList();
        FaultCollector collector = new FaultCollector();
        Configuration configuration = buildSnapshot(version, items, collector);
        new ItemChecks(collector).check(configuration);
        new ReferenceChecks(collector).check(configuration);
        new ControlShardChecks(collector).check(configuration);
        List<Fault> faults = collector.faults();
        return faults.isEmpty() ? Either.right(configuration) : Either.left(faults);
    }

    private static Configuration buildSnapshot(
            long version, List<ConfigurationItem> items, FaultCollector collector) {
        Map<String, WorkspaceEntry> workspaces = ofType(items, WorkspaceEntry.class);
        return new Configuration(
                version,
                ofType(items, Plan.class),
                workspaces,
                ofType(items, Route.class),
                ofType(items, Model.class),
                ofType(items, BackendServer.class),
                ofType(items, FailureDomainEntry.class),
                ofType(items, HostEntry.class),
                workspacesByKeyDigest(workspaces, collector));
    }

    private static <T extends ConfigurationItem> Map<String, T> ofType(
            List<ConfigurationItem> items, Class<T> type) {
        Map<String, T> result = new TreeMap<>();
        for (ConfigurationItem item : items) {
            if (type.isInstance(item)) {
                result.put(item.name(), type.cast(item));
            }
        }
        return result;
    }

    private static Map<String, String> workspacesByKeyDigest(
            Map<String, WorkspaceEntry> workspaces, FaultCollector collector) {
        Map<String, String> owners = new TreeMap<>();
        for (WorkspaceEntry workspace : workspaces.values()) {
            for (String digest : workspace.keyDigests()) {
                String other = owners.putIfAbsent(digest, workspace.name());
                collector.require(
                        other == null,
                        workspace,
                        "keyDigests",
                        digest,
                        "a key of one workspace only; workspace '" + other + "' has it too");
            }
        }
        return owners;
    }
}
