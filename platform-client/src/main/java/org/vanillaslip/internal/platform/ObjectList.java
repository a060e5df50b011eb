package org.vanillaslip.internal.platform;

import java.util.List;

/**
 * All objects of a collection.
 *
 * @param version position from which a watch continues without a gap
 */
public record ObjectList(long version, List<StoredObject> objects) {

    /** Copies the list so that the record is immutable. */
    public ObjectList {
        objects = List.copyOf(objects);
    }
}
