package org.vanillaslip.internal.configuration;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.Configuration;
import org.vanillaslip.VersionedItem;

/**
 * Selects a set of items that are valid together. A faulty item is replaced by its version in
 * force, or dropped if there is none. Validation then runs again, because other items may refer to
 * the replaced or dropped item.
 */
final class ItemSelection {

    private static final ConfigurationValidator VALIDATOR = new ConfigurationValidator();

    private final HashMap<String, VersionedItem> mInForce;
    private final List<Fault> mFaults = new ArrayList<>();
    private HashMap<String, VersionedItem> mSelected;
    private boolean mDropsItemInForce;

    private ItemSelection(
            HashMap<String, VersionedItem> newest, HashMap<String, VersionedItem> inForce) {
        mSelected = newest;
        mInForce = inForce;
    }

    /** Starts with the newest items; those in force are the fallback for faulty ones. */
    static ItemSelection of(
            HashMap<String, VersionedItem> newest, HashMap<String, VersionedItem> inForce) {
        return new ItemSelection(newest, inForce);
    }

    /**
     * Replaces or drops faulty items until the rest is valid, and returns the snapshot of the rest.
     */
    Configuration selectConfiguration() {
        Either<List<Fault>, Configuration> result =
                VALIDATOR.validate(mSelected.values().toJavaList());
        while (result.isLeft()) {
            mFaults.addAll(result.getLeft());
            Set<String> faulty =
                    result.getLeft().stream().map(Fault::item).collect(Collectors.toSet());
            faulty.forEach(this::revertOrDrop);
            result = VALIDATOR.validate(mSelected.values().toJavaList());
        }
        return result.get();
    }

    /** Returns the selected items by object name. */
    HashMap<String, VersionedItem> selectedItems() {
        return mSelected;
    }

    /** Returns the faults of the items that were replaced or dropped. */
    List<Fault> faults() {
        return mFaults.stream().distinct().toList();
    }

    /** Returns whether an item in force had to be dropped. */
    boolean dropsItemInForce() {
        return mDropsItemInForce;
    }

    private void revertOrDrop(String name) {
        Optional<VersionedItem> inForceItem = mInForce.get(name).toJavaOptional();
        Optional<VersionedItem> selectedItem = mSelected.get(name).toJavaOptional();
        boolean wasInForce = inForceItem.flatMap(VersionedItem::item).isPresent();
        if (wasInForce && !inForceItem.equals(selectedItem)) {
            mSelected = mSelected.put(name, inForceItem.orElseThrow());
        } else {
            mDropsItemInForce |= wasInForce;
            mSelected = mSelected.remove(name);
        }
    }
}
