package org.vanillaslip.internal.standins.platform;

import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;

/** Applies the injected faults to the events of a watch. */
final class WatchFaultInjector {

    private final PlatformFaults mFaults;

    WatchFaultInjector(PlatformFaults faults) {
        mFaults = faults;
    }

    /**
     * Returns the events as a caller in the failure domain receives them. A watch that has dropped
     * an event sends nothing more, because later events would hide the gap.
     */
    Flux<WatchEvent> apply(String failureDomain, Flux<WatchEvent> events) {
        return Flux.defer(
                () -> {
                    AtomicBoolean isSilent = new AtomicBoolean();
                    return events.<WatchEvent>handle(
                            (event, sink) -> {
                                if (!mFaults.isReachableFrom(failureDomain)) {
                                    sink.error(unreachableException());
                                } else if (mFaults.silentWatches() || isSilent.get()) {
                                    isSilent.set(true);
                                } else {
                                    sink.next(event);
                                }
                            });
                });
    }

    private static PlatformException unreachableException() {
        return new PlatformException(
                PlatformFailure.UNAVAILABLE,
                "The platform is unreachable because of an injected fault.");
    }
}
