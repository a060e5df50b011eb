package org.vanillaslip.internal.changes;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerEvent;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ChangeRange;
import reactor.core.publisher.Flux;

/**
 * Long polls of rarely changing collections by the second relay of a failure domain. Its watch
 * stays open and delivers each change as before, but the store answers it without a change only
 * after a long time. Meanwhile the second relay knows from the first one's confirmations that it
 * misses nothing. As soon as these fail to arrive, it ends the poll and asks the store itself.
 */
final class LongPolls {

    /** As long as a poll of the collection of hosts, which the store and its clients support. */
    private static final Duration LONG_POLL = Duration.ofSeconds(10);

    /** The first answer after a long poll is needed before the members give the first relay up. */
    private static final Duration CHECKING_POLL = Duration.ofMillis(100);

    /**
     * The first relay confirms every 500 ms; its members give it up after 1300 ms, so the rest is
     * left for the checking poll.
     */
    private static final long MAX_SILENCE_NANOS = Duration.ofMillis(800).toNanos();

    /**
     * The first relay's polls are answered every second. Members read the store themselves once the
     * age reaches 1750 ms, so the rest is left for the checking poll.
     */
    private static final long MAX_AGE_NANOS = Duration.ofMillis(1250).toNanos();

    /**
     * Time without long polls after one had to be ended. A store that takes 250 ms for an answer
     * would otherwise end each of them and get more calls than without long polls.
     */
    private static final long STABLE_NANOS = Duration.ofSeconds(5).toNanos();

    /** Added to a check's time, since timers may fire early by less than this. */
    private static final long CHECK_DELAY_NANOS = Duration.ofMillis(5).toNanos();

    private final RelayNetwork mNetwork;
    private final ChangeRelay mRelay;
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    LongPolls(RelayNetwork network, ChangeRelay relay, DecisionLoop loop, EventLog log) {
        mNetwork = network;
        mRelay = relay;
        mLoop = loop;
        mLog = log;
    }

    /** Watches the store with polls that are long while the first relay confirms. */
    Flux<WatchEvent> watch(
            ObjectStore store, CollectionSubscription subscription, long fromVersion) {
        String collection = subscription.mCollection;
        if (!subscription.mRarelyChanging) {
            return store.watch(collection, fromVersion).publishOn(mLoop.scheduler());
        }
        return store.watch(collection, fromVersion, usual -> pollTime(subscription, usual))
                .publishOn(mLoop.scheduler())
                .doOnNext(event -> recordAnswer(subscription));
    }

    private Duration pollTime(CollectionSubscription subscription, Duration usual) {
        if (subscription.mChecksStore) {
            return CHECKING_POLL;
        }
        subscription.mLongPoll =
                nanosUntilUnconfirmed(subscription) > 0
                        && now() - subscription.mLongPollEndedAt >= STABLE_NANOS;
        if (subscription.mLongPoll) {
            scheduleCheck(subscription);
        }
        return subscription.mLongPoll ? LONG_POLL : usual;
    }

    private void recordAnswer(CollectionSubscription subscription) {
        if (subscription.mChecksStore) {
            subscription.mChecksStore = false;
            // The members that prefer the first relay would get this answer only at the next
            // periodic confirmation, and read the store themselves until then.
            mLoop.scheduler().schedule(mRelay::sendConfirmations);
        }
    }

    /**
     * Handles changes or a confirmation from a relay, after the changes have been added to those of
     * this host.
     *
     * @param knownUntilNanos time up to which the sender has all changes
     */
    void handleRange(
            String relay,
            CollectionSubscription subscription,
            ChangeRange range,
            long knownUntilNanos) {
        if (!isFollowed(relay, subscription)) {
            return;
        }
        if (subscription.mBuffer.position() >= range.getPosition()) {
            subscription.mVouchedAt = now();
            subscription.mVouchedUntil = Math.max(subscription.mVouchedUntil, knownUntilNanos);
            mRelay.scheduleForward();
        } else if (range.getGone()) {
            endLongPoll(subscription, "the first relay no longer has all changes");
        }
    }

    /** Handles the message of a relay that the store no longer answers it. */
    void handleStoreLost(String relay, CollectionSubscription subscription) {
        if (isFollowed(relay, subscription)) {
            endLongPoll(subscription, "the first relay has lost the store");
        }
    }

    private boolean isFollowed(String relay, CollectionSubscription subscription) {
        return subscription.mRarelyChanging
                && mNetwork.firstRelayBeforeThis().equals(Optional.of(relay));
    }

    private void endLongPoll(CollectionSubscription subscription, String reason) {
        if (subscription.mLongPoll && subscription.mStoreWatch.isPresent()) {
            mLog.log(
                    PeerEvent.CHANGES_FROM,
                    field("collection", subscription.mCollection),
                    field("source", "store"),
                    field("reason", reason),
                    field("position", subscription.mBuffer.position()));
            subscription.mLongPoll = false;
            subscription.mChecksStore = true;
            subscription.mLongPollEndedAt = now();
            subscription.restartStoreWatch();
        }
    }

    /** Checks the confirmations as soon as the last one may no longer suffice. */
    private void scheduleCheck(CollectionSubscription subscription) {
        if (!subscription.mLongPollCheckScheduled) {
            subscription.mLongPollCheckScheduled = true;
            mLoop.scheduler()
                    .schedule(
                            () -> check(subscription),
                            nanosUntilUnconfirmed(subscription) + CHECK_DELAY_NANOS,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void check(CollectionSubscription subscription) {
        subscription.mLongPollCheckScheduled = false;
        if (subscription.mLongPoll && nanosUntilUnconfirmed(subscription) > 0) {
            scheduleCheck(subscription);
        } else {
            endLongPoll(subscription, "the first relay does not know the latest state");
        }
    }

    /** Returns the time until the confirmations of the first relay no longer suffice. */
    private long nanosUntilUnconfirmed(CollectionSubscription subscription) {
        return mNetwork.firstRelayBeforeThis().isEmpty()
                ? 0
                : Math.min(
                                subscription.mVouchedAt + MAX_SILENCE_NANOS,
                                subscription.mVouchedUntil + MAX_AGE_NANOS)
                        - now();
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
