package org.vanillaslip.internal.peer;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of peer links. */
public enum PeerEvent implements LogEvent {
    LISTENING(480, System.Logger.Level.INFO, "Listening for connections from other hosts."),
    LINK_UP(481, System.Logger.Level.INFO, "A link to another host is up."),
    LINK_DOWN(482, System.Logger.Level.INFO, "A link to another host is down."),
    LINK_SILENT(
            483,
            System.Logger.Level.WARNING,
            "A link was silent beyond the timeout and was closed."),
    LINK_FAILED(484, System.Logger.Level.DEBUG, "A link to another host could not be opened."),
    ROLE_CHANGED(485, System.Logger.Level.INFO, "The relays known to this host have changed."),
    NO_PATH(
            486,
            System.Logger.Level.DEBUG,
            "A message was dropped: no path to the host, or too many hops."),
    CHANGES_FROM(
            487,
            System.Logger.Level.INFO,
            "Changes of a collection are now received from another source."),
    LINK_TRAFFIC(
            488,
            System.Logger.Level.INFO,
            "Bytes exchanged with other hosts in the last five seconds."),
    MESSAGE_UNREADABLE(
            489,
            System.Logger.Level.WARNING,
            "A message of another host cannot be read; it is dropped, or its link is closed.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    PeerEvent(int number, System.Logger.Level level, String text) {
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
