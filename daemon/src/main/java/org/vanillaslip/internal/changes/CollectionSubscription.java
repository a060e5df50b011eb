package org.vanillaslip.internal.changes;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Sinks;

/** From where this host learns of the changes of one collection; used on the decision loop only. */
final class CollectionSubscription {

    final String mCollection;
    final ChangeBuffer mBuffer = new ChangeBuffer();

    /** Present while this host reads the platform itself; ends that. */
    Optional<Sinks.Empty<Void>> mStoreWatch = Optional.empty();

    /** Present while relays pass the changes on. */
    Optional<FluxSink<WatchEvent>> mRelaySink = Optional.empty();

    /** The members have been sent all changes up to here. */
    long mForwardedPosition;

    /** Whether the platform has answered the last call for the collection. */
    boolean mStoreAnswered;

    /** A relay that reads the platform was heard all the time since then. */
    long mConfirmedSince = Long.MIN_VALUE / 2;

    long mRequestedAt = Long.MIN_VALUE / 2;
    private final Map<String, Long> mConfirmedAtByRelay = new HashMap<>();

    CollectionSubscription(String name) {
        mCollection = name;
    }

    /** Returns whether this host reads all changes from the platform itself. */
    boolean isReadingStore() {
        return mStoreWatch.isPresent() && mStoreAnswered;
    }

    /** Notes that a relay reads the platform. */
    void recordConfirmation(String relay, long nowNanos, long timeoutNanos) {
        if (!hasActiveRelay(nowNanos, timeoutNanos)) {
            mConfirmedSince = nowNanos;
        }
        mConfirmedAtByRelay.put(relay, nowNanos);
    }

    /** Notes that the platform does not answer a relay. */
    void removeRelay(String relay) {
        mConfirmedAtByRelay.remove(relay);
    }

    /** Returns whether a relay that reads the platform was heard within the time. */
    boolean hasActiveRelay(long nowNanos, long timeoutNanos) {
        mConfirmedAtByRelay.values().removeIf(confirmedAt -> nowNanos - confirmedAt > timeoutNanos);
        return !mConfirmedAtByRelay.isEmpty();
    }
}
