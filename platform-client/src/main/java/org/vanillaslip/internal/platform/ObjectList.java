package org.vanillaslip.internal.platform;

import java.util.List;

/**
 * All objects of a collection at one version.
 *
 * @param version version after which a watch has to start so that it misses no change
 */
public record ObjectList(long version, List<StoredObject> objects) {

    /** Copies the list to make the record immutable. */
    public ObjectList {
        objects = List.copyOf(objects);
    }

    /** Returns this list, whose versions are revisions, with its versions in the era. */
    public ObjectList inEra(long era) {
        return new ObjectList(
                StoreVersion.of(era, version),
                objects.stream().map(object -> object.inEra(era)).toList());
    }
}
