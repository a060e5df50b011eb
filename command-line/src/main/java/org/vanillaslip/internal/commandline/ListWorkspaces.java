package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip workspaces list}. */
@Command(name = "list", description = "Lists all workspaces")
public final class ListWorkspaces extends ListCommand {
    @Override
    ItemKind kind() {
        return ItemKind.WORKSPACE;
    }
}
