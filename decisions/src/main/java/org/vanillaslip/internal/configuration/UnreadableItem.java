package org.vanillaslip.internal.configuration;

import java.util.List;

/**
 * A version of a stored object that could not be decoded.
 *
 * @param objectName name of the object on the platform
 * @param faults reasons why decoding failed
 */
public record UnreadableItem(String objectName, long version, List<Fault> faults) {

    /** Copies the list to make the record immutable. */
    public UnreadableItem {
        faults = List.copyOf(faults);
    }
}
