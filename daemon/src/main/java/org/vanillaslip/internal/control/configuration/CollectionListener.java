package org.vanillaslip.internal.control.configuration;

import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.WatchEvent;

/** Receives the contents of a collection on the decision loop. */
public interface CollectionListener {

    /** Handles a complete list, which may be older than events that were already received. */
    void listed(ObjectList list);

    /** Handles a watch event; bookmarks are included. */
    void changed(WatchEvent event);
}
