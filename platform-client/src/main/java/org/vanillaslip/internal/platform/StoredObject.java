package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An object of the platform.
 *
 * @param version grows over all objects of the platform
 */
public record StoredObject(String collection, String name, long version, ObjectNode spec) {}
