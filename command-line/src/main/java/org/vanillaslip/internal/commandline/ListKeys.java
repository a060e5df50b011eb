package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.WorkspaceEntry;

/** {@code vanillaslip keys list}. */
@Command(name = "list", description = "Lists the digests of all keys by workspace")
public final class ListKeys extends OperatorCommand {

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return loadConfiguration(context).map(ListKeys::toResult);
    }

    private static CommandResult toResult(StoredConfiguration stored) {
        List<String> lines = new ArrayList<>();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode keys = json.putArray("keys");
        for (ConfigurationItem item : stored.itemsOfKind(ItemKind.WORKSPACE)) {
            if (item instanceof WorkspaceEntry workspace) {
                workspace.keyDigests().stream()
                        .sorted()
                        .forEach(
                                digest -> {
                                    lines.add(workspace.name() + " " + digest);
                                    keys.addObject()
                                            .put("workspace", workspace.name())
                                            .put("digest", digest);
                                });
            }
        }
        return new CommandResult(List.copyOf(lines), json);
    }
}
