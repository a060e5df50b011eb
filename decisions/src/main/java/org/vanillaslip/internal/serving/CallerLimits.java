package org.vanillaslip.internal.serving;

import java.time.Duration;

/** Limits of request sizes and of the idle time of caller connections. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration idleTimeout) {

    /** Limits that apply until the first configuration is read. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(15));
}
