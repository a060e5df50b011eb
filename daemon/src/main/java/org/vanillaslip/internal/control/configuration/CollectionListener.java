package org.vanillaslip.internal.control.configuration;

import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.WatchEvent;

/** Receives the contents of a collection on the decision loop. */
public interface CollectionListener {

    /** Takes a complete list, which may be older than events that were already taken. */
    void listed(ObjectList list);

    /** Takes an event, bookmarks included. */
    void changed(WatchEvent event);
}
