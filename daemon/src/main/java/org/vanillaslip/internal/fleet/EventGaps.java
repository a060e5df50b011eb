package org.vanillaslip.internal.fleet;

/** Measures the gaps between the events of one stream from one server. */
@FunctionalInterface
public interface EventGaps {

    /** Measures nothing. */
    EventGaps NONE = nowNanos -> {};

    /** Records that an event has arrived. */
    void recordEvent(long nowNanos);
}
