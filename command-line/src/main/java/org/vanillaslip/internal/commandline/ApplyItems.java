package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.util.EnumSet;
import java.util.Set;
import org.vanillaslip.ItemKind;

/** {@code vanillaslip items apply}. */
@Command(
        name = "apply",
        description = "Replaces the items of any kind that differ from a list file")
public final class ApplyItems extends ApplyCommand {
    @Override
    Set<ItemKind> kinds() {
        return EnumSet.allOf(ItemKind.class);
    }
}
