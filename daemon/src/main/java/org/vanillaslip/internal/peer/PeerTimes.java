package org.vanillaslip.internal.peer;

import java.time.Duration;

/**
 * Durations of peer links.
 *
 * @param heartbeatInterval time between heartbeats
 * @param silenceTimeout a link from which nothing arrived for this time is dropped and replaced
 */
public record PeerTimes(Duration heartbeatInterval, Duration silenceTimeout) {

    /** Values of the design: a heartbeat each second, dropped after three. */
    public static final PeerTimes DEFAULT =
            new PeerTimes(Duration.ofSeconds(1), Duration.ofSeconds(3));
}
