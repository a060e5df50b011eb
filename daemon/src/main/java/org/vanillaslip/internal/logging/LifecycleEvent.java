package org.vanillaslip.internal.logging;

/** Log events of the daemon's start and shutdown, with numbers 100 to 199. */
public enum LifecycleEvent implements LogEvent {
    STARTING(100, System.Logger.Level.INFO, "The daemon starts."),
    LISTENING(101, System.Logger.Level.INFO, "An address accepts connections."),
    STOPPING(
            104,
            System.Logger.Level.INFO,
            "A graceful shutdown has started; the readiness check now fails."),
    REFUSING(105, System.Logger.Level.INFO, "New requests are now refused."),
    STOPPED(106, System.Logger.Level.INFO, "The daemon has stopped."),
    STOP_INCOMPLETE(
            107,
            System.Logger.Level.WARNING,
            "The graceful shutdown timed out; running requests are interrupted."),
    START_FAILED(108, System.Logger.Level.ERROR, "The daemon failed to start."),
    SETTINGS_INVALID(109, System.Logger.Level.ERROR, "The settings file is not valid."),
    SETTINGS_VALID(110, System.Logger.Level.INFO, "The settings file is valid."),
    RELOAD_REQUESTED(
            111,
            System.Logger.Level.INFO,
            "A signal requested a settings reload; settings take effect at the next start."),
    LOOP_PAUSED(
            112,
            System.Logger.Level.WARNING,
            "The decision loop stalled and delayed all calls of this host by as much.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    LifecycleEvent(int number, System.Logger.Level level, String text) {
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
