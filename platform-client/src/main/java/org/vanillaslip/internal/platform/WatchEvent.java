package org.vanillaslip.internal.platform;

/** A change of an object in a collection, or a bookmark, whose object has no name and no spec. */
public record WatchEvent(WatchEventType type, StoredObject object) {}
