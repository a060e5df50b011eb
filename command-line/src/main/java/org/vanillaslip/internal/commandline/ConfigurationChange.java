package org.vanillaslip.internal.commandline;

import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;

/**
 * One write to the platform.
 *
 * @param readVersion version that the write replaces, or 0 to create the object
 * @param item the new item, empty for a removal
 */
record ConfigurationChange(ItemName name, long readVersion, Optional<ConfigurationItem> item) {

    String verb() {
        if (item.isEmpty()) {
            return "removed";
        }
        return readVersion == 0 ? "created" : "changed";
    }
}
