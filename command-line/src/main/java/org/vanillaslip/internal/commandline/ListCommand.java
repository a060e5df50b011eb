package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.Plan;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.platform.ConfigurationCodec;

/** Lists all items of one kind; the JSON output is a list file. */
abstract class ListCommand extends OperatorCommand {

    abstract ItemKind kind();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return loadConfiguration(context).map(this::toResult);
    }

    private CommandResult toResult(StoredConfiguration stored) {
        ListFileEntryConverter converter = new ListFileEntryConverter(new ConfigurationCodec());
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode entries = json.putArray(ListFileSections.nameOf(kind()));
        List<String> lines = new ArrayList<>();
        for (ConfigurationItem item : stored.itemsOfKind(kind())) {
            entries.add(converter.toEntry(item));
            lines.add(format(item) + " version=" + stored.readVersion(ItemName.of(item)));
        }
        return new CommandResult(List.copyOf(lines), json);
    }

    private static String format(ConfigurationItem item) {
        if (item instanceof Plan plan) {
            return plan.name()
                    + " tokens_per_second="
                    + plan.tokensPerSecond()
                    + " burst_tokens="
                    + plan.burstTokens()
                    + " models="
                    + plan.models().size()
                    + " adapters="
                    + plan.adapters().size();
        } else if (item instanceof WorkspaceEntry workspace) {
            return workspace.name()
                    + " plan="
                    + workspace.plan()
                    + " keys="
                    + workspace.keyDigests().size();
        }
        return item.name();
    }
}
