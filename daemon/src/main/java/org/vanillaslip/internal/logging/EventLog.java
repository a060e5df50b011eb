package org.vanillaslip.internal.logging;

/** Logs numbered events with named fields. */
@FunctionalInterface
public interface EventLog {

    /** Writes the event as one log line. */
    void log(LogEvent event, LogField... fields);
}
