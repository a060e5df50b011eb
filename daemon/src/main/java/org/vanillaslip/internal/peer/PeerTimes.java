package org.vanillaslip.internal.peer;

import java.time.Duration;

/**
 * Durations of peer links.
 *
 * @param heartbeat time between heartbeats
 * @param silence a link from which nothing arrived for this time is dropped and replaced
 */
public record PeerTimes(Duration heartbeat, Duration silence) {

    /** Values of the design: a heartbeat each second, dropped after three. */
    public static final PeerTimes DEFAULT =
            new PeerTimes(Duration.ofSeconds(1), Duration.ofSeconds(3));
}
