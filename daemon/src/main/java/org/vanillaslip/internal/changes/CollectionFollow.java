package org.vanillaslip.internal.changes;

import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Sinks;

/** From where this host learns of the changes of one collection; used on the decision loop only. */
final class CollectionFollow {

    final String mName;
    final ChangeFeed mFeed = new ChangeFeed();

    /** Present while this host reads the platform itself; ends that. */
    Optional<Sinks.Empty<Void>> mReading = Optional.empty();

    /** Present while relays pass the changes on. */
    Optional<FluxSink<WatchEvent>> mListener = Optional.empty();

    /** The members have been sent all changes up to here. */
    long mPassedOn;

    /** A relay was heard all the time since then, and the last time when. */
    long mConfirmedSince = Long.MIN_VALUE / 2;

    long mConfirmedAt = Long.MIN_VALUE / 2;
    long mAskedAt = Long.MIN_VALUE / 2;

    CollectionFollow(String name) {
        mName = name;
    }

    void confirmed(long nowNanos, long silenceNanos) {
        if (nowNanos - mConfirmedAt > silenceNanos) {
            mConfirmedSince = nowNanos;
        }
        mConfirmedAt = nowNanos;
    }
}
