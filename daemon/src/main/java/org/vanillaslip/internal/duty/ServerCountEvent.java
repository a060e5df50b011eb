package org.vanillaslip.internal.duty;

import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of the ordered numbers of backend servers; numbers 620 to 639. */
public enum ServerCountEvent implements LogEvent {
    COUNT_CHANGED(620, INFO, "The number of servers of a pool in a failure domain changes."),
    COUNT_ACCEPTED(621, INFO, "The platform has accepted a number of servers."),
    COUNT_UNANSWERED(622, WARNING, "The platform took no number of servers; it is sent again."),
    COUNT_REJECTED(623, WARNING, "The platform has rejected a number of servers."),
    COUNT_REPEATED(624, INFO, "The list of servers has not followed their number; it is repeated."),
    COUNTS_TAKEN_OVER(625, INFO, "This host orders the numbers of servers and continues these."),
    COUNT_RECORD_FAILED(626, WARNING, "The numbers of servers could not be read or written."),
    DOMAIN_VIEW_CHANGED(
            627, INFO, "The number of servers follows a failure domain, or stays as it is.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    ServerCountEvent(int number, System.Logger.Level level, String text) {
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
