package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip workspaces show}. */
@Command(name = "show", description = "Shows a workspace and its version")
public final class ShowWorkspace extends ShowCommand {
    @Override
    ItemKind kind() {
        return ItemKind.WORKSPACE;
    }
}
