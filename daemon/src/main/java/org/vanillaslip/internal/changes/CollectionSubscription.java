package org.vanillaslip.internal.changes;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Sinks;

/** Where this host receives the changes of one collection from. Confined to the decision loop. */
final class CollectionSubscription {

    final String mCollection;
    final ChangeBuffer mBuffer = new ChangeBuffer();

    /** Present while this host watches the platform itself. Completing it ends the watch. */
    Optional<Sinks.Empty<Void>> mStoreWatch = Optional.empty();

    /** Present while this host receives the changes from relays. */
    Optional<FluxSink<WatchEvent>> mRelaySink = Optional.empty();

    /** All changes up to this position have been forwarded to the members. */
    long mForwardedPosition;

    /** Whether the platform answered the last call for the collection. */
    boolean mStoreAnswered;

    /** Since this time there has always been an active relay. */
    long mConfirmedSince = Long.MIN_VALUE / 2;

    long mRequestedAt = Long.MIN_VALUE / 2;
    private final Map<String, Long> mConfirmedAtByRelay = new HashMap<>();

    CollectionSubscription(String name) {
        mCollection = name;
    }

    /** Returns whether this host watches the platform itself and misses no changes. */
    boolean isReadingStore() {
        return mStoreWatch.isPresent() && mStoreAnswered;
    }

    /** Records that a relay confirmed its watch on the platform. */
    void recordConfirmation(String relay, long nowNanos, long timeoutNanos) {
        if (!hasActiveRelay(nowNanos, timeoutNanos)) {
            mConfirmedSince = nowNanos;
        }
        mConfirmedAtByRelay.put(relay, nowNanos);
    }

    /** Removes a relay that the platform no longer answers. */
    void removeRelay(String relay) {
        mConfirmedAtByRelay.remove(relay);
    }

    /** Returns whether a relay has confirmed its watch on the platform within the timeout. */
    boolean hasActiveRelay(long nowNanos, long timeoutNanos) {
        mConfirmedAtByRelay.values().removeIf(confirmedAt -> nowNanos - confirmedAt > timeoutNanos);
        return !mConfirmedAtByRelay.isEmpty();
    }
}
