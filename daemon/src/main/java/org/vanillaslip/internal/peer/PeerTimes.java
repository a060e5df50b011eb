package org.vanillaslip.internal.peer;

import java.time.Duration;

/**
 * Timing of peer links.
 *
 * @param heartbeatInterval time between heartbeats
 * @param silenceTimeout time without a message after which a link is closed and replaced
 */
public record PeerTimes(Duration heartbeatInterval, Duration silenceTimeout) {

    /** A heartbeat every second; a link is closed after three seconds of silence. */
    public static final PeerTimes DEFAULT =
            new PeerTimes(Duration.ofSeconds(1), Duration.ofSeconds(3));
}
