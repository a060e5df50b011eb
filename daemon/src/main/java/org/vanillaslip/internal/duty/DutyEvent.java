package org.vanillaslip.internal.duty;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.ERROR;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of the duties that one host at a time has; numbers 600 to 639. */
public enum DutyEvent implements LogEvent {
    SETTINGS_IGNORED(
            600, WARNING, "Settings of duties are unknown or contradict; they are left out."),
    CALL_UNANSWERED(601, DEBUG, "The platform did not answer a duty call."),
    WINDOW_SETTLED(602, INFO, "The usage of a window is recorded and will be reported."),
    REPORT_ACCEPTED(603, INFO, "The platform has accepted the usage report of a window."),
    REPORT_REPEATED(604, INFO, "The usage report of a window was not accepted; it is repeated."),
    REPORT_GIVEN_UP(605, ERROR, "The platform rejects the usage report of a window."),
    WINDOWS_LEFT_OUT(606, WARNING, "The usage of windows is not known; it is not reported."),
    COUNTS_LATE(607, WARNING, "Calls were counted too late for the report of their window."),
    USAGE_RECORD_FAILED(608, WARNING, "The record of usage reports cannot be read or written."),
    USAGE_RECORD_RESTORED(
            609, WARNING, "The record of usage reports may have lost changes; it is rewritten.");

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
