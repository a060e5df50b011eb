package org.vanillaslip.internal.quota;

/** Faults that {@link FaultyMemoryStore} injects into writes. */
enum StoreFault {
    LOST_AFTER_EFFECT,
    LOST_WITHOUT_EFFECT,
    LOST_AFTER_EFFECT_AND_WATCH_ENDED,
    CONFLICT,
    UNAVAILABLE,
    WATCH_ENDED,
    WATCH_FAILED
}
