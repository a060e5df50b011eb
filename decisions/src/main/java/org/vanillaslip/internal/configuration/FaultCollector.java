package org.vanillaslip.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;

/** Collects the faults of all checks, so that they are reported together. */
final class FaultCollector {

    private final List<Fault> mFaults = new ArrayList<>();

    void require(
            boolean accepted, ConfigurationItem item, String field, Object value, String allowed) {
        if (!accepted) {
            String name = ItemName.of(item).objectName();
            mFaults.add(new Fault(name, field, String.valueOf(value), allowed));
        }
    }

    List<Fault> faults() {
        return List.copyOf(mFaults);
    }
}
