package org.vanillaslip.internal.commandline;

import java.util.List;
import java.util.Set;
import org.vanillaslip.ItemKind;

/**
 * The lists of configuration items that were read from a file.
 *
 * @param sections kinds whose list is present, also if it is empty
 */
record ListFile(Set<ItemKind> sections, List<ListFileEntry> entries) {

    /** Returns the lists of the given kinds. */
    ListFile only(Set<ItemKind> kinds) {
        return new ListFile(
                Set.copyOf(sections.stream().filter(kinds::contains).toList()),
                entries.stream().filter(entry -> kinds.contains(entry.name().kind())).toList());
    }
}
