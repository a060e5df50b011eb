package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.List;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.platform.ConfigurationCodec;

/** Shows one item and its version. */
abstract class ShowCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the item")
    @Required
    String mName = "";

    abstract ItemKind kind();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return loadConfiguration(context).flatMap(this::findItem);
    }

    private Either<CommandFailure, CommandResult> findItem(StoredConfiguration stored) {
        ItemName name = new ItemName(kind(), mName);
        return stored.item(name)
                .<Either<CommandFailure, CommandResult>>map(
                        item -> Either.right(toResult(item, stored.readVersion(name))))
                .orElseGet(() -> Either.left(CommandFailures.unknown(name.objectName())));
    }

    private static CommandResult toResult(ConfigurationItem item, long version) {
        ObjectNode json = new ListFileEntryConverter(new ConfigurationCodec()).toEntry(item);
        return new CommandResult(
                List.of("version " + version, json.toPrettyString()),
                json.deepCopy().put("version", version));
    }
}
