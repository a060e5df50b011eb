package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.util.Set;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip workspaces apply}. */
@Command(name = "apply", description = "Replaces the workspaces that differ from a list file")
public final class ApplyWorkspaces extends ApplyCommand {
    @Override
    Set<ItemKind> kinds() {
        return Set.of(ItemKind.WORKSPACE);
    }
}
