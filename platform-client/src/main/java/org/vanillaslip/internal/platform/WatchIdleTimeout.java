package org.vanillaslip.internal.platform;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** Ends watches on which nothing arrives, not even bookmarks. */
public final class WatchIdleTimeout {

    /**
     * The interval of bookmarks, 5 s, and 2 s for a late one. A change that a list has just missed
     * is in force after the rest of that list, this silence and the next list. With at most 2 s for
     * each list, the default of a call, that is within 11 s.
     */
    public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(7);

    private WatchIdleTimeout() {}

    /** Ends the watch with {@link PlatformFailure#SILENT} after the longest silence. */
    public static <T> Flux<T> apply(Flux<T> events, Scheduler timer) {
        PlatformException silent =
                new PlatformException(
                        PlatformFailure.SILENT,
                        "The watch was silent for "
                                + IDLE_TIMEOUT.toSeconds()
                                + " s and was dropped.");
        return events.timeout(IDLE_TIMEOUT, Flux.error(silent), timer);
    }
}
