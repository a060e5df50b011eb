package org.vanillaslip.internal.quota;

/** What goes wrong at a write of {@link MemoryStore}. */
enum StoreFault {
    LOST_AFTER_EFFECT,
    LOST_WITHOUT_EFFECT,
    LOST_AFTER_EFFECT_AND_WATCH_ENDED,
    CONFLICT,
    UNAVAILABLE,
    WATCH_ENDED,
    WATCH_FAILED
}
