package org.vanillaslip.internal.platform;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** Ends watches on which nothing arrives, not even bookmarks. */
public final class WatchSilence {

    /** Three bookmark intervals of 5 s: one late bookmark does not end a watch. */
    public static final Duration LONGEST = Duration.ofSeconds(15);

    private WatchSilence() {}

    /** Ends the watch with {@link PlatformFailure#UNAVAILABLE} after the longest silence. */
    public static <T> Flux<T> limit(Flux<T> events, Scheduler timer) {
        PlatformException silent =
                new PlatformException(
                        PlatformFailure.UNAVAILABLE,
                        "The watch was silent for " + LONGEST.toSeconds() + " s and was dropped.");
        return events.timeout(LONGEST, Flux.error(silent), timer);
    }
}
