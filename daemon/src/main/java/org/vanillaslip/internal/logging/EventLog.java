package org.vanillaslip.internal.logging;

/** Writes numbered events with named fields. */
@FunctionalInterface
public interface EventLog {

    /** Writes one line for the event. */
    void log(LogEvent event, LogField... fields);
}
