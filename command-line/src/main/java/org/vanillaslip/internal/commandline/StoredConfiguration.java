package org.vanillaslip.internal.commandline;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.UnreadableItem;

/** All items on the platform, including removed ones, with the versions that were read. */
record StoredConfiguration(
        Map<ItemName, VersionedItem> items, Map<String, UnreadableItem> unreadable) {

    /** Returns an empty configuration. */
    static StoredConfiguration empty() {
        return new StoredConfiguration(Map.of(), Map.of());
    }

    Optional<ConfigurationItem> item(ItemName name) {
        return Optional.ofNullable(items.get(name)).flatMap(VersionedItem::item);
    }

    /** Returns the version that was read, or 0 if the item was never stored. */
    long readVersion(ItemName name) {
        UnreadableItem unreadableItem = unreadable.get(name.objectName());
        VersionedItem item = items.get(name);
        return item != null
                ? item.version()
                : unreadableItem == null ? 0 : unreadableItem.version();
    }

    /** Returns the items of the kind that are not removed, sorted by name. */
    List<ConfigurationItem> itemsOfKind(ItemKind kind) {
        return items.values().stream()
                .filter(item -> item.name().kind() == kind)
                .flatMap(item -> item.item().stream())
                .sorted(Comparator.comparing(ConfigurationItem::name))
                .toList();
    }

    /** Returns the sorted object names of the drained items. */
    List<String> drainedNames() {
        return items.values().stream()
                .flatMap(item -> item.item().stream())
                .filter(StoredConfiguration::isDrained)
                .map(item -> ItemName.of(item).objectName())
                .sorted()
                .toList();
    }

    private static boolean isDrained(ConfigurationItem item) {
        return (item instanceof FailureDomainEntry failureDomain && failureDomain.drained())
                || (item instanceof HostEntry host && host.drained())
                || (item instanceof BackendServer server && server.drained());
    }
}
