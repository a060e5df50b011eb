package org.vanillaslip.internal.control.placement;

import java.time.Duration;

/**
 * The time for which a lease holder treats a model as requested after the last request of a host.
 */
final class RequestLifetime {

    /**
     * Interval at which hosts send digests and arrivals, and repeat the activation of models that
     * requests still wait for.
     */
    static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);

    /** Two consecutive messages may be lost before the holder treats a request as ended. */
    private static final Duration MAX_LIFETIME = EXCHANGE_INTERVAL.multipliedBy(3);

    private RequestLifetime() {}

    /** Returns the lifetime of one request, which is never longer than its caller waits. */
    static Duration of(Duration wait) {
        return wait.compareTo(MAX_LIFETIME) < 0 ? wait : MAX_LIFETIME;
    }
}
