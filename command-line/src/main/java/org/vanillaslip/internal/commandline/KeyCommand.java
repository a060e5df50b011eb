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

/** Changes the key digests of one workspace. */
abstract class KeyCommand extends OperatorCommand {

    /** Writes the workspace with the digest added or removed. */
    Either<CommandFailure, CommandResult> write(
            CommandContext context, String workspace, String digest, boolean present) {
        return access(context).flatMap(access -> write(access, workspace, digest, present));
    }

    private static Either<CommandFailure, CommandResult> write(
            ConfigurationAccess access, String workspace, String digest, boolean present) {
        return access.load()
                .flatMap(
                        stored ->
                                changed(stored, workspace, digest, present)
                                        .flatMap(entry -> write(access, stored, entry)));
    }

    private static Either<CommandFailure, CommandResult> write(
            ConfigurationAccess access, StoredConfiguration stored, WorkspaceEntry workspace) {
        Map<ItemName, Optional<ConfigurationItem>> wanted =
                Map.of(ItemName.of(workspace), Optional.of(workspace));
        return new ChangeWriter(access).write(stored, wanted);
    }

    private static Either<CommandFailure, WorkspaceEntry> changed(
            StoredConfiguration stored, String name, String digest, boolean present) {
        ItemName itemName = new ItemName(ItemKind.WORKSPACE, name);
        Optional<ConfigurationItem> item = stored.item(itemName);
        if (item.isEmpty() || !(item.get() instanceof WorkspaceEntry workspace)) {
            return Either.left(Failures.unknown(itemName.objectName()));
        }
        if (!present && !workspace.keyDigests().contains(digest)) {
            return Either.left(Failures.unknownKey(name));
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
