package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;

/** Replaces the stored items that differ from a list file. */
abstract class ApplyCommand extends OperatorCommand {
    @Arguments(title = "FILE", description = "JSON file with lists of items")
    @Required
    String mFile = "";

    @Option(
            name = {"--prune"},
            description =
                    "Removes stored items that are missing from the file's list of their kind")
    boolean mPrune;

    /** Returns the kinds that this command applies; it ignores lists of other kinds. */
    abstract Set<ItemKind> kinds();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return InputFile.read(mFile)
                .map(file -> file.only(kinds()))
                .flatMap(file -> connect(context).flatMap(client -> apply(file, client)));
    }

    private Either<CommandFailure, CommandResult> apply(ListFile file, ConfigurationClient client) {
        return client.load().flatMap(stored -> apply(file, client, stored));
    }

    private Either<CommandFailure, CommandResult> apply(
            ListFile file, ConfigurationClient client, StoredConfiguration stored) {
        return InputFile.items(file, stored)
                .map(items -> addRemovals(file, items, stored))
                .flatMap(requested -> new ChangeWriter(client).write(stored, requested));
    }

    /** An empty list prunes all items of its kind; a kind without a list is never pruned. */
    private Map<ItemName, Optional<ConfigurationItem>> addRemovals(
            ListFile file,
            Map<ItemName, Optional<ConfigurationItem>> items,
            StoredConfiguration stored) {
        Map<ItemName, Optional<ConfigurationItem>> requested = new HashMap<>(items);
        if (mPrune) {
            file.sections().stream()
                    .flatMap(kind -> stored.itemsOfKind(kind).stream())
                    .forEach(item -> requested.putIfAbsent(ItemName.of(item), Optional.empty()));
        }
        return requested;
    }
}
