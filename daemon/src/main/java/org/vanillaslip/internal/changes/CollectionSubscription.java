package org.vanillaslip.internal.changes;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Sinks;

/** Where this host receives the changes of one collection from. Confined to the decision loop. */
final class CollectionSubscription {

    /** The time of two missed confirmations and some delay. */
    private static final long RELAY_TIMEOUT_NANOS = Duration.ofMillis(1300).toNanos();

    /**
     * What relays know may be this old. Their watches are answered at least once a second, and an
     * answer may take 600 ms. A server that stops serves for at least two seconds after its
     * announcement, so the rest is left for reading the store.
     */
    private static final Duration MAX_AGE = Duration.ofMillis(1750);

    /** The watch of the collection of hosts is answered every ten seconds; it is not urgent. */
    private static final Duration MAX_AGE_OF_HOSTS = Duration.ofSeconds(12);

    final String mCollection;
    final boolean mRarelyChanging;
    final ChangeBuffer mBuffer = new ChangeBuffer();

    /** Present while this host watches the platform itself. Completing it ends the watch. */
    Optional<Sinks.Empty<Void>> mStoreWatch = Optional.empty();

    /** Present while this host receives the changes from relays. */
    Optional<FluxSink<WatchEvent>> mRelaySink = Optional.empty();

    /** All changes up to this position have been forwarded to the members. */
    long mForwardedPosition;

    /** Present while this host watches the platform itself; also emits what relays forward. */
    Optional<FluxSink<WatchEvent>> mStoreSink = Optional.empty();

    /** All changes up to this position have been received from relays. */
    long mReceivedPosition;

    /** Whether the platform answered the last call for the collection. */
    boolean mStoreAnswered;

    /** Time of the platform's last answer to this host. */
    long mAnsweredAt = Long.MIN_VALUE / 2;

    /** Time up to which this relay has all changes according to the first relay. */
    long mVouchedUntil = Long.MIN_VALUE / 2;

    /** Time at which the first relay last told that this relay has all changes. */
    long mVouchedAt = Long.MIN_VALUE / 2;

    /** Whether the last poll is one that the store may leave unanswered for long. */
    boolean mLongPoll;

    boolean mLongPollCheckScheduled;

    /** Time at which a long poll was last ended before the store answered it. */
    long mLongPollEndedAt = Long.MIN_VALUE / 2;

    /** Whether the next answer of the store replaces what the first relay no longer confirms. */
    boolean mChecksStore;

    /** Time of the last confirmation to the members that prefer this relay. */
    long mConfirmedAt = Long.MIN_VALUE / 2;

    /** Whether the source has ended because this host switches to the other one. */
    boolean mSwitchingSource;

    boolean mAgeCheckScheduled;

    /** Since this time there has always been an active relay. */
    long mActiveSince = Long.MIN_VALUE / 2;

    long mRequestedAt = Long.MIN_VALUE / 2;

    /** Relay from which changes were last requested. */
    String mRequestedFrom = "";

    private final long mMaxAgeNanos;
    private final Map<String, Confirmation> mConfirmationsByRelay = new HashMap<>();

    /**
     * Creates a subscription without a source.
     *
     * @param rarelyChanging whether the second relay may use long polls
     */
    CollectionSubscription(String name, boolean rarelyChanging) {
        mCollection = name;
        mRarelyChanging = rarelyChanging;
        Duration maxAge = name.equals(PlatformCollections.HOSTS) ? MAX_AGE_OF_HOSTS : MAX_AGE;
        mMaxAgeNanos = maxAge.toNanos();
    }

    /** Returns whether this host watches the platform itself and misses no changes. */
    boolean isReadingStore() {
        return mStoreWatch.isPresent() && mStoreAnswered;
    }

    /** Returns the time up to which this host has all changes while it watches the platform. */
    long knownUntilNanos() {
        return Math.max(mAnsweredAt, mVouchedUntil);
    }

    /** Returns whether the event is a bookmark, or a change that no relay has forwarded yet. */
    boolean isUnknown(WatchEvent event) {
        return event.type() == WatchEventType.BOOKMARK
                || event.object().version() > mReceivedPosition;
    }

    /** Ends the source so that the watch goes on at the best one from the same position. */
    void restartStoreWatch() {
        mStoreWatch.ifPresent(
                storeWatch -> {
                    mSwitchingSource = true;
                    storeWatch.tryEmitEmpty();
                });
    }

    /**
     * Records that a relay has all changes up to a time.
     *
     * @param knownUntilNanos time of the platform's last answer to the relay
     */
    void recordConfirmation(String relay, long knownUntilNanos, long nowNanos) {
        if (!hasActiveRelay(nowNanos)) {
            mActiveSince = nowNanos;
        }
        mConfirmationsByRelay.put(relay, new Confirmation(nowNanos, knownUntilNanos));
    }

    /** Removes a relay that the platform no longer answers. */
    void removeRelay(String relay) {
        mConfirmationsByRelay.remove(relay);
    }

    /**
     * Returns whether a relay has sent a confirmation within the timeout, and what it knows is not
     * too old.
     */
    boolean hasActiveRelay(long nowNanos) {
        mConfirmationsByRelay
                .values()
                .removeIf(
                        confirmation ->
                                nowNanos - confirmation.receivedNanos() > RELAY_TIMEOUT_NANOS
                                        || nowNanos - confirmation.knownUntilNanos()
                                                > mMaxAgeNanos);
        return !mConfirmationsByRelay.isEmpty();
    }

    /** Returns the time until what all relays know is too old, if they send nothing newer. */
    long nanosUntilTooOld(long nowNanos) {
        return mConfirmationsByRelay.values().stream()
                        .mapToLong(Confirmation::knownUntilNanos)
                        .max()
                        .orElse(nowNanos - mMaxAgeNanos)
                + mMaxAgeNanos
                - nowNanos;
    }

    /**
     * Last confirmation of a relay.
     *
     * @param knownUntilNanos time up to which the relay has all changes
     */
    private record Confirmation(long receivedNanos, long knownUntilNanos) {}
}
