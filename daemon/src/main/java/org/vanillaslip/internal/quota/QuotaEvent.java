package org.vanillaslip.internal.quota;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of limits that are enforced across all hosts. */
public enum QuotaEvent implements LogEvent {
    CHARGE_REFUSED(400, System.Logger.Level.INFO, "A charge exceeds the rate of the workspace."),
    COORDINATOR_UNREACHABLE(
            401, System.Logger.Level.WARNING, "The quota coordinator did not answer."),
    LEVEL_KNOWN(
            402,
            System.Logger.Level.INFO,
            "This host knows how much of a workspace's rate is left; before, it took its part."),
    SHARE_CHANGED(410, System.Logger.Level.INFO, "The share of this host has changed."),
    SHARE_TABLE_WRITTEN(
            411, System.Logger.Level.INFO, "A new share table was written to the store."),
    SHARE_TABLE_CONFLICT(
            412,
            System.Logger.Level.INFO,
            "Another host changed the share table; it is read again."),
    SHARE_TABLE_UNREADABLE(
            413, System.Logger.Level.WARNING, "The share tables could not be read or written."),
    SLOT_REFUSED(
            420, System.Logger.Level.DEBUG, "All request slots of a starting server are taken.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    QuotaEvent(int number, System.Logger.Level level, String text) {
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
