package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An object that the platform stores.
 *
 * @param version version of the last change; increases with each change of any object
 */
public record StoredObject(String collection, String name, long version, ObjectNode spec) {

    /** Returns this object, whose version is a revision, with its version in the era. */
    public StoredObject inEra(long era) {
        return new StoredObject(collection, name, StoreVersion.of(era, version), spec);
    }
}
