package org.vanillaslip.internal.changes;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Sinks;

/** From where this host learns of the changes of one collection; used on the decision loop only. */
final class CollectionSubscription {

    final String mName;
    final ChangeBuffer mFeed = new ChangeBuffer();

    /** Present while this host reads the platform itself; ends that. */
    Optional<Sinks.Empty<Void>> mReading = Optional.empty();

    /** Present while relays pass the changes on. */
    Optional<FluxSink<WatchEvent>> mListener = Optional.empty();

    /** The members have been sent all changes up to here. */
    long mPassedOn;

    /** Whether the platform has answered the last call for the collection. */
    boolean mAnswered;

    /** A relay that reads the platform was heard all the time since then. */
    long mConfirmedSince = Long.MIN_VALUE / 2;

    long mAskedAt = Long.MIN_VALUE / 2;
    private final Map<String, Long> mConfirmedAt = new HashMap<>();

    CollectionSubscription(String name) {
        mName = name;
    }

    /** Returns whether this host reads all changes from the platform itself. */
    boolean reads() {
        return mReading.isPresent() && mAnswered;
    }

    /** Notes that a relay reads the platform. */
    void confirmed(String relay, long nowNanos, long silenceNanos) {
        if (!isConfirmed(nowNanos, silenceNanos)) {
            mConfirmedSince = nowNanos;
        }
        mConfirmedAt.put(relay, nowNanos);
    }

    /** Notes that the platform does not answer a relay. */
    void lost(String relay) {
        mConfirmedAt.remove(relay);
    }

    /** Returns whether a relay that reads the platform was heard within the time. */
    boolean isConfirmed(long nowNanos, long silenceNanos) {
        mConfirmedAt.values().removeIf(confirmedAt -> nowNanos - confirmedAt > silenceNanos);
        return !mConfirmedAt.isEmpty();
    }
}
