package org.vanillaslip.internal.relay;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.ERROR;
import static java.lang.System.Logger.Level.INFO;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of pass-through calls, with numbers 560 to 579. */
public enum RelayEvent implements LogEvent {
    SERVER_CHOSEN(560, INFO, "A backend server was chosen for a call."),
    SEND_FAILED(561, INFO, "Sending a call to a backend server failed."),
    CALL_ANSWERED(562, INFO, "A call was answered."),
    CALL_REFUSED(563, INFO, "A call was refused or failed."),
    CALLER_LEFT(564, INFO, "A caller closed its connection before the response was complete."),
    STREAM_RESUMED(565, INFO, "A broken stream resumes on a backend server."),
    STREAM_BROKEN(566, INFO, "A stream ended before it was complete."),
    CALL_FAULT(567, ERROR, "A call failed because of an internal error."),
    HEAD_MALFORMED(568, DEBUG, "A request head cannot be parsed."),
    STREAM_TRUNCATED(
            569, INFO, "A backend server's stream ended within an event or before the first."),
    STANDBY_STARTED(
            570, INFO, "A call is also sent to another backend server, because its own is silent."),
    STANDBY_DELIVERED(
            571, INFO, "The other backend server delivered first; the silent one is cancelled."),
    STANDBY_ENDED(572, INFO, "One of two runs of a call ended without an effect."),
    RETRY_REFUSED(573, INFO, "The retry budget of a pool does not allow a retry."),
    MOVE_STARTED(
            574, INFO, "A call is also sent to another backend server, as its own stops soon."),
    MOVED(575, INFO, "The other backend server has caught up; the stopping one is cancelled."),
    SEND_OMITTED(576, INFO, "A call was not sent, because its caller had disconnected.");

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
