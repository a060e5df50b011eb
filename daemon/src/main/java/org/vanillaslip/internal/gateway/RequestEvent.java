package org.vanillaslip.internal.gateway;

import java.lang.System.Logger.Level;
import org.vanillaslip.internal.logging.LogEvent;

/** Log events of request handling. */
public enum RequestEvent implements LogEvent {
    SERVER_CHOSEN(501, Level.INFO, "A backend server was chosen for a request."),
    REQUEST_REFUSED(502, Level.INFO, "A request was refused."),
    REQUEST_COMPLETED(503, Level.INFO, "A request received its complete response."),
    REQUEST_RETRIED(
            504, Level.INFO, "A request is sent to a backend server again after a failure."),
    CALLER_LEFT(
            505, Level.INFO, "The caller closed the connection before the response was complete."),
    OUTCOME_NOT_RECORDED(
            506, Level.WARNING, "The outcome of a non-repeatable call could not be recorded."),
    INTERNAL_FAULT(510, Level.ERROR, "A request failed because of an internal error.");

    private final int mNumber;
    private final Level mLevel;
    private final String mText;

    RequestEvent(int number, Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    @Override
    public int number() {
        return mNumber;
    }

    @Override
    public Level level() {
        return mLevel;
    }

    @Override
    public String text() {
        return mText;
    }
}
