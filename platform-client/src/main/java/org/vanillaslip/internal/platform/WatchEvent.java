package org.vanillaslip.internal.platform;

/** A change of an object in a collection, or a bookmark, whose object has no name and no spec. */
public record WatchEvent(WatchEventType type, StoredObject object) {

    /** Returns this event, whose version is a revision, with its version in the era. */
    public WatchEvent inEra(long era) {
        return new WatchEvent(type, object.inEra(era));
    }
}
