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
    @Arguments(title = "FILE", description = "JSON file with lists")
    @Required
    String mFile = "";

    @Option(
            name = {"--prune"},
            description = "Removes stored items that a list of the file does not name")
    boolean mPrune;

    /** Returns the kinds that this command applies; other lists of the file are ignored. */
    abstract Set<ItemKind> kinds();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return InputFile.read(mFile)
                .map(file -> file.only(kinds()))
                .flatMap(file -> access(context).flatMap(access -> apply(file, access)));
    }

    private Either<CommandFailure, CommandResult> apply(ListFile file, ConfigurationAccess access) {
        return access.load().flatMap(stored -> apply(file, access, stored));
    }

    private Either<CommandFailure, CommandResult> apply(
            ListFile file, ConfigurationAccess access, StoredConfiguration stored) {
        return InputFile.items(file, stored)
                .map(items -> withRemovals(file, items, stored))
                .flatMap(wanted -> new ChangeWriter(access).write(stored, wanted));
    }

    /** A kind whose list is missing from the file is never pruned; an empty list prunes it. */
    private Map<ItemName, Optional<ConfigurationItem>> withRemovals(
            ListFile file,
            Map<ItemName, Optional<ConfigurationItem>> items,
            StoredConfiguration stored) {
        Map<ItemName, Optional<ConfigurationItem>> wanted = new HashMap<>(items);
        if (mPrune) {
            file.sections().stream()
                    .flatMap(kind -> stored.ofKind(kind).stream())
                    .forEach(item -> wanted.putIfAbsent(ItemName.of(item), Optional.empty()));
        }
        return wanted;
    }
}
