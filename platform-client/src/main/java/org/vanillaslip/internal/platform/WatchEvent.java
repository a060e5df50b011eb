package org.vanillaslip.internal.platform;

/** One change of a collection; a bookmark has an empty name and spec. */
public record WatchEvent(WatchEventType type, StoredObject object) {}
