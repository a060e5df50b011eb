package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip plans show}. */
@Command(name = "show", description = "Shows a plan and its version")
public final class ShowPlan extends ShowCommand {
    @Override
    ItemKind kind() {
        return ItemKind.PLAN;
    }
}
