package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.WorkspaceEntry;

/** Adds a key digest to a workspace or removes one. */
abstract class KeyCommand extends OperatorCommand {

    /** Adds the digest to the workspace if {@code present} is true, and removes it otherwise. */
    Either<CommandFailure, CommandResult> updateDigests(
            CommandContext context, String workspace, String digest, boolean present) {
        return connect(context)
                .flatMap(client -> updateDigests(client, workspace, digest, present));
    }

    private static Either<CommandFailure, CommandResult> updateDigests(
            ConfigurationClient client, String workspace, String digest, boolean present) {
        return client.load()
                .flatMap(
                        stored ->
                                updatedWorkspace(stored, workspace, digest, present)
                                        .flatMap(entry -> updateDigests(client, stored, entry)));
    }

    private static Either<CommandFailure, CommandResult> updateDigests(
            ConfigurationClient client, StoredConfiguration stored, WorkspaceEntry workspace) {
        Map<ItemName, Optional<ConfigurationItem>> requested =
                Map.of(ItemName.of(workspace), Optional.of(workspace));
        return new ChangeWriter(client).write(stored, requested);
    }

    private static Either<CommandFailure, WorkspaceEntry> updatedWorkspace(
            StoredConfiguration stored, String name, String digest, boolean present) {
        ItemName itemName = new ItemName(ItemKind.WORKSPACE, name);
        Optional<ConfigurationItem> item = stored.item(itemName);
        if (item.isEmpty() || !(item.get() instanceof WorkspaceEntry workspace)) {
            return Either.left(CommandFailures.unknown(itemName.objectName()));
        }
        if (!present && !workspace.keyDigests().contains(digest)) {
            return Either.left(CommandFailures.unknownKey(name));
        }
        Set<String> digests = new HashSet<>(workspace.keyDigests());
        if (present) {
            digests.add(digest);
        } else {
            digests.remove(digest);
        }
        return Either.right(new WorkspaceEntry(name, workspace.plan(), digests));
    }
}
