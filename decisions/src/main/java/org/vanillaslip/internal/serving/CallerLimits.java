package org.vanillaslip.internal.serving;

import java.time.Duration;

/** What callers may send, and for how long their connections may stay idle. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration idleTimeout) {

    /** Used until the first configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(15));
}
