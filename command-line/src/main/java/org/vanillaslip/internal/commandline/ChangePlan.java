package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.ConfigurationValidator;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.configuration.UnreadableItem;

/** Finds the writes that lead to the wanted items and refuses those that end in faults. */
final class ChangePlan {
    /** An item comes after those that it refers to, so that hosts see few invalid states. */
    private static final List<ItemKind> ORDER =
            List.of(
                    ItemKind.FAILURE_DOMAIN,
                    ItemKind.HOST,
                    ItemKind.BACKEND_SERVER,
                    ItemKind.MODEL,
                    ItemKind.PLAN,
                    ItemKind.WORKSPACE,
                    ItemKind.ROUTE);

    private final ConfigurationValidator mValidator;

    ChangePlan(ConfigurationValidator validator) {
        mValidator = validator;
    }

    /**
     * Returns the changes in the order in which to write them.
     *
     * @param wanted new items, an empty one for a removal
     */
    Either<List<Fault>, List<ConfigurationChange>> changes(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> wanted) {
        List<Fault> faults = faultsAfter(stored, wanted);
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        List<ConfigurationChange> changes = new ArrayList<>();
        wanted.forEach(
                (name, item) -> {
                    boolean unreadable = stored.unreadable().containsKey(name.objectName());
                    if (unreadable || !stored.item(name).equals(item)) {
                        changes.add(new ConfigurationChange(name, stored.version(name), item));
                    }
                });
        changes.sort(order());
        return Either.right(List.copyOf(changes));
    }

    private List<Fault> faultsAfter(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> wanted) {
        Map<ItemName, VersionedItem> result = new HashMap<>(stored.items());
        Map<String, UnreadableItem> unreadable = new HashMap<>(stored.unreadable());
        wanted.forEach(
                (name, item) -> {
                    result.put(name, new VersionedItem(name, stored.version(name), item));
                    unreadable.remove(name.objectName());
                });
        List<Fault> faults = new ArrayList<>();
        unreadable.values().forEach(item -> faults.addAll(item.faults()));
        mValidator.validate(result.values()).peekLeft(faults::addAll);
        return faults;
    }

    private static Comparator<ConfigurationChange> order() {
        return Comparator.comparing((ConfigurationChange change) -> change.item().isEmpty())
                .thenComparing(ChangePlan::rank)
                .thenComparing(change -> change.name().name());
    }

    private static int rank(ConfigurationChange change) {
        int rank = ORDER.indexOf(change.name().kind());
        return change.item().isPresent() ? rank : -rank;
    }
}
