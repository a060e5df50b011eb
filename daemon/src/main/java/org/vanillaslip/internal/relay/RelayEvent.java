package org.vanillaslip.internal.relay;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.ERROR;
import static java.lang.System.Logger.Level.INFO;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of pass-through calls; numbers 500 to 519. */
public enum RelayEvent implements LogEvent {
    SERVER_CHOSEN(500, INFO, "A backend server was chosen for a call."),
    SEND_FAILED(501, INFO, "A backend server did not answer a call as it should."),
    CALL_ANSWERED(502, INFO, "A call was answered."),
    CALL_REFUSED(503, INFO, "A call was refused or failed."),
    CALLER_LEFT(504, INFO, "A caller closed its connection before the answer ended."),
    STREAM_RESUMED(505, INFO, "A broken stream continues on another backend server."),
    STREAM_BROKEN(506, INFO, "A stream ended before it was complete."),
    CALL_FAULT(507, ERROR, "A call failed by an internal fault."),
    HEAD_MALFORMED(508, DEBUG, "A request head cannot be read.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    RelayEvent(int number, System.Logger.Level level, String text) {
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
