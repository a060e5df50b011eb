package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.util.Set;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip plans apply}. */
@Command(name = "apply", description = "Replaces the plans that differ from a list file")
public final class ApplyPlans extends ApplyCommand {
    @Override
    Set<ItemKind> kinds() {
        return Set.of(ItemKind.PLAN);
    }
}
