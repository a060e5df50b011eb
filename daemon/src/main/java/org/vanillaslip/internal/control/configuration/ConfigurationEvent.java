package org.vanillaslip.internal.control.configuration;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of the configuration; numbers 200 to 299. */
public enum ConfigurationEvent implements LogEvent {
    SNAPSHOT_IN_FORCE(200, INFO, "A new configuration snapshot is in force."),
    ITEMS_REFUSED(201, WARNING, "Items with faults are not in force; the fields list them."),
    LIST_FAILED(202, WARNING, "A collection could not be listed."),
    WATCH_ENDED(203, INFO, "A watch ended and will be resumed from its position."),
    WATCH_POSITION_GONE(204, INFO, "The watch position is too old; listing the collection."),
    ITEMS_FROM_PEER(205, INFO, "Received newer configuration items from a peer."),
    PEER_ITEM_UNREADABLE(206, WARNING, "A configuration item from a peer cannot be read."),
    PEER_NOT_REACHED(207, DEBUG, "A peer did not answer a configuration digest."),
    HOSTS_CHANGED(208, INFO, "The list of hosts changed."),
    HOST_UNREADABLE(209, WARNING, "Ignoring an entry of the host list that cannot be read."),
    LISTENER_FAILED(
            210, WARNING, "A list or change could not be applied; the collection is listed again."),
    ANSWER_UNREADABLE(211, WARNING, "An answer of the platform's store cannot be read as a whole.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    ConfigurationEvent(int number, System.Logger.Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    @Override
    public int number() {
        return mNumber;
    }

    @Override
    public System.Logger.Level level() {
        return mLevel;
    }

    @Override
    public String text() {
        return mText;
    }
}
