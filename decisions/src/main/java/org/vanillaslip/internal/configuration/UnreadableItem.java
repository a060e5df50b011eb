package org.vanillaslip.internal.configuration;

import java.util.List;

/** A stored object whose content could not be decoded at the given version. */
public record UnreadableItem(String objectName, long version, List<Fault> faults) {

    /** Copies the list so that the record is immutable. */
    public UnreadableItem {
        faults = List.copyOf(faults);
    }
}
