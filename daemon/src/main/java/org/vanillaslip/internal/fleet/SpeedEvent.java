package org.vanillaslip.internal.fleet;

import static java.lang.System.Logger.Level.INFO;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of the measured speeds of backend servers; numbers 590 to 599. */
public enum SpeedEvent implements LogEvent {
    SPEED_CHANGED(
            590,
            INFO,
            "A backend server became slow or fast relative to its pool, or is usual again.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    SpeedEvent(int number, System.Logger.Level level, String text) {
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
