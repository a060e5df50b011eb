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
 * Chooses the items that can be in force together. A faulty item is replaced by the version in
 * force before, or left out when there was none; this repeats, because other items may refer to it.
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

    /** Chooses among the newest items and those in force before. */
    static ItemSelection of(
            HashMap<String, VersionedItem> newest, HashMap<String, VersionedItem> inForce) {
        return new ItemSelection(newest, inForce);
    }

    /** Returns the snapshot of the chosen items. */
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

    /** Returns the chosen items by object name. */
    HashMap<String, VersionedItem> selectedItems() {
        return mSelected;
    }

    /** Returns why items were replaced or left out. */
    List<Fault> faults() {
        return mFaults.stream().distinct().toList();
    }

    /** Returns whether an item that was in force had to be left out. */
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
