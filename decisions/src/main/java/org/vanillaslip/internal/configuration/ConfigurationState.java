package org.vanillaslip.internal.configuration;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.Configuration;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;

/**
 * Immutable state of the configuration on one host: the newest version of each item, the snapshot
 * in force, which is built from the items that are valid together, and the faults of the other
 * items.
 */
public final class ConfigurationState {

    private static final RevocationsAndDrains REVOCATIONS_AND_DRAINS = new RevocationsAndDrains();

    private final HashMap<String, VersionedItem> mItems;
    private final HashMap<String, UnreadableItem> mUnreadable;
    private final HashMap<String, VersionedItem> mInForce;
    private final Optional<Configuration> mCurrent;
    private final List<Fault> mFaults;

    private ConfigurationState(
            HashMap<String, VersionedItem> items,
            HashMap<String, UnreadableItem> unreadable,
            HashMap<String, VersionedItem> inForce,
            Optional<Configuration> current,
            List<Fault> faults) {
        mItems = items;
        mUnreadable = unreadable;
        mInForce = inForce;
        mCurrent = current;
        mFaults = faults;
    }

    /** Returns the state of a host that has received no items. */
    public static ConfigurationState empty() {
        return new ConfigurationState(
                HashMap.empty(), HashMap.empty(), HashMap.empty(), Optional.empty(), List.of());
    }

    /** Adds the items that have a newer version; returns this state if there are none. */
    public ConfigurationState merge(Collection<VersionedItem> items) {
        return merge(items, List.of());
    }

    /**
     * Adds the items that have a newer version, and records newer versions that could not be
     * decoded; returns this state if there are none.
     */
    public ConfigurationState merge(
            Collection<VersionedItem> items, Collection<UnreadableItem> unreadable) {
        HashMap<String, VersionedItem> newItems = mItems;
        HashMap<String, UnreadableItem> newUnreadable = mUnreadable;
        boolean changed = false;
        for (VersionedItem item : items) {
            String name = item.name().objectName();
            if (item.version() > versionOf(newItems, newUnreadable, name)) {
                newItems = newItems.put(name, item);
                newUnreadable = newUnreadable.remove(name);
                changed = true;
            }
        }
        for (UnreadableItem item : unreadable) {
            if (item.version() > versionOf(newItems, newUnreadable, item.objectName())) {
                newUnreadable = newUnreadable.put(item.objectName(), item);
                changed = true;
            }
        }
        return changed ? rebuild(newItems, newUnreadable) : this;
    }

    /**
     * Records items as removed that a complete list of the given version does not contain. An
     * object may have been deleted on the platform instead of being marked as removed.
     */
    public ConfigurationState removeUnlisted(Set<String> listedNames, long listVersion) {
        List<VersionedItem> removals = new ArrayList<>();
        for (VersionedItem item : mItems.values()) {
            boolean listed = listedNames.contains(item.name().objectName());
            if (!listed && item.item().isPresent() && item.version() <= listVersion) {
                removals.add(removalOf(item.name(), listVersion));
            }
        }
        HashMap<String, UnreadableItem> unreadable =
                mUnreadable.filter(
                        (name, item) -> listedNames.contains(name) || item.version() > listVersion);
        if (removals.isEmpty() && unreadable.size() == mUnreadable.size()) {
            return this;
        }
        HashMap<String, VersionedItem> items = mItems;
        for (VersionedItem removal : removals) {
            // Replaces an item of the same version too, because the list no longer contains it.
            items = items.put(removal.name().objectName(), removal);
        }
        return rebuild(items, unreadable);
    }

    /** Records that an object was deleted on the platform at the given version. */
    public ConfigurationState remove(String objectName, long version) {
        Option<ItemName> name = mItems.get(objectName).map(VersionedItem::name);
        if (name.isDefined()) {
            return merge(List.of(removalOf(name.get(), version)));
        }
        HashMap<String, UnreadableItem> unreadable = mUnreadable.remove(objectName);
        return unreadable.size() == mUnreadable.size() ? this : rebuild(mItems, unreadable);
    }

    /**
     * Returns the snapshot in force. Keys that newer items revoke are already removed from it, and
     * drains that newer items request are already applied. Empty before the first item.
     */
    public Optional<Configuration> current() {
        return mCurrent;
    }

    /** Returns the faults that keep newer items from taking effect; empty if there are none. */
    public List<Fault> faults() {
        return mFaults;
    }

    /** Returns the highest version of all items, or 0 if there are none. */
    public long version() {
        return mItems.values().map(VersionedItem::version).max().getOrElse(0L);
    }

    /**
     * Returns the items with a higher version than the given one, in ascending order of version.
     */
    public List<VersionedItem> newerThan(long version) {
        return mItems.values()
                .filter(item -> item.version() > version)
                .toSortedSet(
                        Comparator.comparingLong(VersionedItem::version)
                                .thenComparing(item -> item.name().objectName()))
                .toJavaList();
    }

    private ConfigurationState rebuild(
            HashMap<String, VersionedItem> items, HashMap<String, UnreadableItem> unreadable) {
        ItemSelection selection = ItemSelection.of(items, mInForce);
        Configuration selected = selection.selectConfiguration();
        List<Fault> faults = new ArrayList<>();
        unreadable.values().forEach(item -> faults.addAll(item.faults()));
        faults.addAll(selection.faults());
        // The snapshot in force stays if a fault would remove one of its items.
        boolean keepSnapshot = selection.dropsItemInForce() && mCurrent.isPresent();
        Configuration snapshot = keepSnapshot ? mCurrent.orElseThrow() : selected;
        Configuration current =
                faults.isEmpty() ? snapshot : REVOCATIONS_AND_DRAINS.apply(snapshot, items);
        return new ConfigurationState(
                items,
                unreadable,
                keepSnapshot ? mInForce : selection.selectedItems(),
                Optional.of(current),
                List.copyOf(faults));
    }

    private static VersionedItem removalOf(ItemName name, long version) {
        return new VersionedItem(name, version, Optional.empty());
    }

    private static long versionOf(
            HashMap<String, VersionedItem> items,
            HashMap<String, UnreadableItem> unreadable,
            String name) {
        long itemVersion = items.get(name).map(VersionedItem::version).getOrElse(0L);
        long unreadableVersion = unreadable.get(name).map(UnreadableItem::version).getOrElse(0L);
        return Math.max(itemVersion, unreadableVersion);
    }
}
