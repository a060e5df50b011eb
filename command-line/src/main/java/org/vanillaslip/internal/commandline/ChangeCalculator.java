package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.ConfigurationValidator;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.configuration.UnreadableItem;

/** Determines the writes that lead from the stored items to the requested ones. */
final class ChangeCalculator {
    /** Items are written after those that they refer to, so that hosts see few invalid states. */
    private static final List<ItemKind> WRITE_ORDER =
            List.of(
                    ItemKind.FAILURE_DOMAIN,
                    ItemKind.HOST,
                    ItemKind.BACKEND_SERVER,
                    ItemKind.MODEL,
                    ItemKind.PLAN,
                    ItemKind.WORKSPACE,
                    ItemKind.ROUTE);

    private final ConfigurationValidator mValidator;

    ChangeCalculator(ConfigurationValidator validator) {
        mValidator = validator;
    }

    /**
     * Returns the changes in the order in which to write them, or the faults that the configuration
     * would have after them.
     *
     * @param requested requested items, empty for a removal
     */
    Either<List<Fault>, List<ConfigurationChange>> calculate(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> requested) {
        return configurationAfter(stored, requested)
                .map(configuration -> changes(stored, requested));
    }

    /** Returns the changes in the order in which to write them, whether they are valid or not. */
    List<ConfigurationChange> changes(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> requested) {
        List<ConfigurationChange> changes = new ArrayList<>();
        requested.forEach(
                (name, item) -> {
                    boolean unreadable = stored.unreadable().containsKey(name.objectName());
                    if (unreadable || !stored.item(name).equals(item)) {
                        changes.add(new ConfigurationChange(name, stored.readVersion(name), item));
                    }
                });
        changes.sort(writeOrder());
        return List.copyOf(changes);
    }

    /** Returns the configuration after the changes, or its faults. */
    Either<List<Fault>, Configuration> configurationAfter(
            StoredConfiguration stored, Map<ItemName, Optional<ConfigurationItem>> requested) {
        Map<ItemName, VersionedItem> result = new HashMap<>(stored.items());
        Map<String, UnreadableItem> unreadable = new HashMap<>(stored.unreadable());
        requested.forEach(
                (name, item) -> {
                    result.put(name, new VersionedItem(name, stored.readVersion(name), item));
                    unreadable.remove(name.objectName());
                });
        List<Fault> faults = new ArrayList<>();
        unreadable.values().forEach(item -> faults.addAll(item.faults()));
        Either<List<Fault>, Configuration> configuration =
                mValidator.validate(result.values()).peekLeft(faults::addAll);
        return faults.isEmpty() ? configuration : Either.left(List.copyOf(faults));
    }

    private static Comparator<ConfigurationChange> writeOrder() {
        return Comparator.comparing((ConfigurationChange change) -> change.item().isEmpty())
                .thenComparing(ChangeCalculator::rank)
                .thenComparing(change -> change.name().name());
    }

    private static int rank(ConfigurationChange change) {
        int rank = WRITE_ORDER.indexOf(change.name().kind());
        return change.item().isPresent() ? rank : -rank;
    }
}
