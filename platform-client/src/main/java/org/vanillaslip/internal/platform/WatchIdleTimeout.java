package org.vanillaslip.internal.platform;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** Ends watches on which nothing arrives, not even bookmarks. */
public final class WatchIdleTimeout {

    /**
     * Bookmark interval of 5 s plus 2 s for a late bookmark. If the watch is silent, a change that
     * a list just missed is in force after the rest of that list, this timeout and the next list.
     * With at most 2 s per list, the default timeout of a call, this takes at most 11 s.
     */
    public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(7);

    private WatchIdleTimeout() {}

    /** Fails the watch with {@link PlatformFailure#SILENT} if no event arrives in the timeout. */
    public static <T> Flux<T> apply(Flux<T> events, Scheduler timer) {
        PlatformException silent =
                new PlatformException(
                        PlatformFailure.SILENT,
                        "The watch was closed after "
                                + IDLE_TIMEOUT.toSeconds()
                                + " s without an event.");
        return events.timeout(IDLE_TIMEOUT, Flux.error(silent), timer);
    }
}
