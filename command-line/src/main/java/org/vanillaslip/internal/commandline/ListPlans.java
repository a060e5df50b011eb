package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip plans list}. */
@Command(name = "list", description = "Lists all plans")
public final class ListPlans extends ListCommand {
    @Override
    ItemKind kind() {
        return ItemKind.PLAN;
    }
}
