package org.vanillaslip.internal.platform;

import java.time.Duration;

/** Determines how long the store may wait for a change before it answers a poll of a watch. */
@FunctionalInterface
public interface PollTime {

    /**
     * Returns the time for the next poll; called before each poll of a watch.
     *
     * @param usual time of a poll of this collection without a special request
     */
    Duration next(Duration usual);
}
