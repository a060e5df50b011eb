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
 * All items that a host knows, the snapshot built from those that are valid together, and the
 * faults that keep the others out of force.
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

    /** Returns the state of a host that knows nothing. */
    public static ConfigurationState empty() {
        return new ConfigurationState(
                HashMap.empty(), HashMap.empty(), HashMap.empty(), Optional.empty(), List.of());
    }

    /** Takes the items that are newer than the known ones; returns this state when none is. */
    public ConfigurationState merge(Collection<VersionedItem> items) {
        return merge(items, List.of());
    }

    /** Takes newer items, and remembers newer versions that could not be decoded. */
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
     * Records as removed what a complete list at the given version does not contain. Covers objects
     * that were deleted on the platform instead of being marked as removed.
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
            // Takes precedence over an item of the same version, which the list no longer has.
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
     * Returns the items that are valid together, without keys that newer items revoke and with the
     * drains that newer items ask for.
     */
    public Optional<Configuration> current() {
        return mCurrent;
    }

    /** Returns why the newest items are not in force; empty when they are. */
    public List<Fault> faults() {
        return mFaults;
    }

    /** Returns the highest version among the items, 0 when there are none. */
    public long version() {
        return mItems.values().map(VersionedItem::version).max().getOrElse(0L);
    }

    /** Returns the items with a higher version than the given one, oldest first. */
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
        // A fault that would take a working item out of force keeps the snapshot as it is.
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
