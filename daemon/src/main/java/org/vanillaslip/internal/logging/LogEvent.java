package org.vanillaslip.internal.logging;

/** A numbered log event; {@code docs/LOG-EVENTS.md} lists all of them. */
public interface LogEvent {

    /** Returns the stable number of this event. */
    int number();

    /** Returns the severity. */
    System.Logger.Level level();

    /** Returns the message text. */
    String text();
}
