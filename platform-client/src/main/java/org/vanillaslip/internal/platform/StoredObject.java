package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * An object that the platform stores.
 *
 * @param version version of the last change; increases with each change of any object; 0 if it
 *     cannot be read
 * @param spec empty if it cannot be read
 * @param fault what cannot be read of the object, or empty
 */
public record StoredObject(
        String collection, String name, long version, ObjectNode spec, Optional<String> fault) {

    /** Creates a readable object. */
    public StoredObject(String collection, String name, long version, ObjectNode spec) {
        this(collection, name, version, spec, Optional.empty());
    }

    /** Returns this object, whose version is a revision, with its version in the era. */
    public StoredObject inEra(long era) {
        return new StoredObject(collection, name, StoreVersion.of(era, version), spec, fault);
    }
}
