package org.vanillaslip.internal.configuration;

import io.vavr.collection.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.WorkspaceEntry;

/**
 * Applies key revocations and drains of newer items to the snapshot in force. Without this, a fault
 * in any item would keep revoked keys valid and drained failure domains in use on every host.
 */
final class RevocationsAndDrains {

    Configuration apply(Configuration snapshot, HashMap<String, VersionedItem> items) {
        Map<String, String> workspacesByKeyDigest =
                snapshot.workspacesByKeyDigest().entrySet().stream()
                        .filter(entry -> hasKey(items, entry.getValue(), entry.getKey()))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new Configuration(
                snapshot.version(),
                snapshot.plans(),
                mapEntries(snapshot.workspaces(), items, RevocationsAndDrains::withoutRevokedKeys),
                snapshot.routes(),
                snapshot.models(),
                mapEntries(snapshot.backendServers(), items, RevocationsAndDrains::withDrain),
                mapEntries(snapshot.failureDomains(), items, RevocationsAndDrains::withDrain),
                mapEntries(snapshot.hosts(), items, RevocationsAndDrains::withDrain),
                workspacesByKeyDigest);
    }

    private static boolean hasKey(
            HashMap<String, VersionedItem> items, String workspace, String digest) {
        ItemName name = new ItemName(ItemKind.WORKSPACE, workspace);
        return items.get(name.objectName())
                .toJavaOptional()
                .flatMap(VersionedItem::item)
                .filter(item -> ((WorkspaceEntry) item).keyDigests().contains(digest))
                .isPresent();
    }

    private static <T extends ConfigurationItem> Map<String, T> mapEntries(
            Map<String, T> entries,
            HashMap<String, VersionedItem> items,
            BiFunction<T, Optional<ConfigurationItem>, T> change) {
        return entries.values().stream()
                .map(entry -> change.apply(entry, newestItem(items, entry)))
                .collect(Collectors.toMap(ConfigurationItem::name, entry -> entry));
    }

    private static Optional<ConfigurationItem> newestItem(
            HashMap<String, VersionedItem> items, ConfigurationItem entry) {
        return items.get(ItemName.of(entry).objectName())
                .toJavaOptional()
                .flatMap(VersionedItem::item);
    }

    private static WorkspaceEntry withoutRevokedKeys(
            WorkspaceEntry entry, Optional<ConfigurationItem> newest) {
        return new WorkspaceEntry(
                entry.name(),
                entry.plan(),
                entry.keyDigests().stream()
                        .filter(
                                digest ->
                                        newest.isPresent()
                                                && ((WorkspaceEntry) newest.get())
                                                        .keyDigests()
                                                        .contains(digest))
                        .collect(Collectors.toSet()));
    }

    private static FailureDomainEntry withDrain(
            FailureDomainEntry entry, Optional<ConfigurationItem> newest) {
        return newest.filter(item -> ((FailureDomainEntry) item).drained())
                .map(item -> new FailureDomainEntry(entry.name(), true))
                .orElse(entry);
    }

    private static HostEntry withDrain(HostEntry entry, Optional<ConfigurationItem> newest) {
        return newest.filter(item -> ((HostEntry) item).drained())
                .map(item -> new HostEntry(entry.name(), true))
                .orElse(entry);
    }

    private static BackendServer withDrain(
            BackendServer entry, Optional<ConfigurationItem> newest) {
        return newest.filter(item -> ((BackendServer) item).drained())
                .map(
                        item ->
                                new BackendServer(
                                        entry.name(),
                                        entry.failureDomain(),
                                        entry.address(),
                                        entry.kind(),
                                        entry.pool(),
                                        entry.controlShard(),
                                        entry.memoryBytes(),
                                        entry.accelerators(),
                                        entry.checksFencing(),
                                        true,
                                        entry.slowStart()))
                .orElse(entry);
    }
}
