package org.vanillaslip.internal.duty;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of the duties that one host at a time has; numbers 600 to 639. */
public enum DutyEvent implements LogEvent {
    SETTINGS_IGNORED(
            600, WARNING, "Settings of duties are unknown or contradict; they are left out."),
    CALL_UNANSWERED(601, DEBUG, "The platform did not answer a duty call.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    DutyEvent(int number, System.Logger.Level level, String text) {
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
