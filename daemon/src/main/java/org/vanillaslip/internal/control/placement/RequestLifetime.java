package org.vanillaslip.internal.control.placement;

import java.time.Duration;

/** How long a lease holder keeps a model as wanted that no host asks for again. */
final class RequestLifetime {

    /** Hosts ask again at this interval for models that requests still wait for. */
    static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);

    /** Two questions in a row may be lost before the holder takes a wait as ended. */
    private static final Duration MAX_LIFETIME = EXCHANGE_INTERVAL.multipliedBy(3);

    private RequestLifetime() {}

    /** Returns how long one question keeps the model wanted; requests do not wait longer. */
    static Duration of(Duration wait) {
        return wait.compareTo(MAX_LIFETIME) < 0 ? wait : MAX_LIFETIME;
    }
}
