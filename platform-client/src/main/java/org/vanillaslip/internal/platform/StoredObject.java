package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An object that the platform stores.
 *
 * @param version version of the last change; increases with each change of any object
 */
public record StoredObject(String collection, String name, long version, ObjectNode spec) {}
