package org.vanillaslip.internal.serving;

import java.time.Duration;

/**
 * Limits of the number of servers of a pool in each failure domain.
 *
 * @param bootTime time from the order of a server until it serves
 */
public record ServerScaling(int minServers, int maxServers, Duration bootTime) {

    /** Far more than a failure domain has; keeps sums within the range of an int. */
    public static final int MAX_SERVERS = 100_000;

    public ServerScaling {
        if (minServers < 0 || maxServers < minServers || maxServers > MAX_SERVERS) {
            throw new IllegalArgumentException(
                    "the number of servers is to be from "
                            + minServers
                            + " to "
                            + maxServers
                            + ", not a range within 0 to "
                            + MAX_SERVERS);
        }
        if (bootTime.isNegative()) {
            throw new IllegalArgumentException("the boot time is negative: " + bootTime);
        }
    }
}
