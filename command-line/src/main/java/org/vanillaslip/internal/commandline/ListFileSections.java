package org.vanillaslip.internal.commandline;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.ItemKind;

/** The names of the lists in a list file, one for each kind of item. */
final class ListFileSections {
    private ListFileSections() {}

    static String nameOf(ItemKind kind) {
        return switch (kind) {
            case PLAN -> "plans";
            case WORKSPACE -> "workspaces";
            case ROUTE -> "routes";
            case MODEL -> "models";
            case BACKEND_SERVER -> "backend_servers";
            case FAILURE_DOMAIN -> "failure_domains";
            case HOST -> "hosts";
        };
    }

    static Optional<ItemKind> kindOf(String section) {
        return Arrays.stream(ItemKind.values())
                .filter(kind -> nameOf(kind).equals(section))
                .findFirst();
    }

    static List<String> names() {
        return Arrays.stream(ItemKind.values()).map(ListFileSections::nameOf).toList();
    }
}
