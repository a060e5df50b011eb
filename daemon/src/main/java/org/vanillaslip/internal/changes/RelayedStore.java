package org.vanillaslip.internal.changes;

import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.fleet.StoreAnswerHistory;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerEvent;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ChangeRange;
import org.vanillaslip.messages.CollectionChanges;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The platform's store, whose collections only relays watch. Relays forward each change to the
 * hosts of their failure domain, the other relays included, and confirm the position up to which
 * they have all changes with the age of the store's last answer; a host that misses some requests
 * them. A host whose relays are silent, know nothing newer than some time ago, or no longer have
 * the changes that it misses, reads the store itself.
 */
public final class RelayedStore implements ObjectStore {

    private static final Duration CONFIRM_INTERVAL = Duration.ofMillis(500);

    /** A host ends its own watch of the store once its relays have been active for this long. */
    private static final long STABLE_RELAY_NANOS = Duration.ofMillis(1500).toNanos();

    /** Added to a check's time, since timers may fire early by less than this. */
    private static final long AGE_CHECK_DELAY_NANOS = Duration.ofMillis(5).toNanos();

    private final ObjectStore mStore;
    private final StoreAnswerHistory mAnswers;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final ChangeCodec mCodec = new ChangeCodec();
    private final ChangeRelay mRelay;
    private final ReceivedChanges mReceivedChanges;
    private final LongPolls mLongPolls;
    private final Set<String> mRarelyChanging;
    private final Map<String, CollectionSubscription> mSubscriptions = new HashMap<>();

    /**
     * Creates a store that does not exchange changes until it is started.
     *
     * @param store store whose watches emit an event or a bookmark at least once a second, those of
     *     the collection of hosts every ten seconds
     * @param answers records when the store answered a relay
     */
    public RelayedStore(
            ObjectStore store,
            StoreAnswerHistory answers,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            EventLog log) {
        this(store, answers, Set.of(), network, links, loop, log);
    }

    /**
     * Creates a store that does not exchange changes until it is started.
     *
     * @param rarelyChanging collections of which the second relay of a failure domain polls the
     *     store less often
     */
    public RelayedStore(
            ObjectStore store,
            StoreAnswerHistory answers,
            Set<String> rarelyChanging,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            EventLog log) {
        mStore = store;
        mAnswers = answers;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
        mLog = log;
        mRelay = new ChangeRelay(mSubscriptions, network, links, loop);
        mReceivedChanges = new ReceivedChanges(mCodec, links, loop);
        mLongPolls = new LongPolls(network, mRelay, loop, log);
        mRarelyChanging = Set.copyOf(rarelyChanging);
    }

    /** Starts exchanging changes with other hosts. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.CHANGES_REQUEST, mRelay::handleChangesRequest);
        mLinks.handle(Envelope.BodyCase.COLLECTION_CHANGES, this::handleChanges);
        long period = CONFIRM_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return mStore.read(collection, name);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        return mStore.readRecent(collection, name);
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        CollectionSubscription subscription = subscription(collection);
        return mStore.list(collection)
                .publishOn(mLoop.scheduler())
                .doOnNext(result -> recordStoreAnswer(subscription, result.isRight()));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return mStore.create(collection, name, spec);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return mStore.update(collection, name, expectedVersion, spec);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return mStore.delete(collection, name, expectedVersion);
    }

    /**
     * Watches a collection, through relays if possible. Each collection has one watch at a time,
     * which changes between the store and the relays without losing its position.
     */
    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(
                () -> {
                    CollectionSubscription subscription = subscription(collection);
                    subscription.mBuffer.restartAt(fromVersion);
                    subscription.mReceivedPosition = fromVersion;
                    return Flux.defer(() -> watchBestSource(subscription))
                            .repeat(() -> subscription.mSwitchingSource);
                });
    }

    private Flux<WatchEvent> watchBestSource(CollectionSubscription subscription) {
        subscription.mSwitchingSource = false;
        return canUseRelays(subscription) ? watchRelays(subscription) : watchStore(subscription);
    }

    private CollectionSubscription subscription(String collection) {
        return mSubscriptions.computeIfAbsent(
                collection,
                name -> new CollectionSubscription(name, mRarelyChanging.contains(name)));
    }

    /** On the first unanswered call, notifies the members that this relay may miss changes. */
    private void recordStoreAnswer(CollectionSubscription subscription, boolean answered) {
        if (subscription.mStoreAnswered && !answered) {
            mRelay.sendStoreLost(subscription);
        }
        subscription.mStoreAnswered = answered;
        if (answered) {
            subscription.mAnsweredAt = now();
        }
    }

    private boolean canUseRelays(CollectionSubscription subscription) {
        return !mNetwork.isRelay() && hasActiveRelay(subscription);
    }

    private boolean hasActiveRelay(CollectionSubscription subscription) {
        return subscription.hasActiveRelay(now());
    }

    private Flux<WatchEvent> watchStore(CollectionSubscription subscription) {
        Sinks.Empty<Void> end = Sinks.empty();
        Optional<Sinks.Empty<Void>> storeWatch = Optional.of(end);
        long fromVersion = subscription.mBuffer.position();
        subscription.mForwardedPosition = Math.max(subscription.mForwardedPosition, fromVersion);
        subscription.mStoreWatch = storeWatch;
        Flux<WatchEvent> read =
                mLongPolls
                        .watch(mStore, subscription, fromVersion)
                        .doOnNext(event -> recordStoreAnswer(subscription, true))
                        .filter(subscription::isUnknown)
                        .doOnNext(
                                event -> {
                                    buffer(subscription, event);
                                    mRelay.scheduleForward();
                                })
                        .doOnError(error -> recordStoreAnswer(subscription, isAnswer(error)))
                        .takeUntilOther(end.asMono())
                        .doFinally(
                                signal -> {
                                    if (subscription.mStoreWatch.equals(storeWatch)) {
                                        subscription.mStoreWatch = Optional.empty();
                                        subscription.mStoreSink = Optional.empty();
                                    }
                                });
        return Flux.create(
                sink -> {
                    subscription.mStoreSink = Optional.of(sink);
                    sink.onDispose(read.subscribe(sink::next, sink::error, sink::complete));
                });
    }

    private void buffer(CollectionSubscription subscription, WatchEvent event) {
        if (event.type() == WatchEventType.BOOKMARK) {
            subscription.mBuffer.advanceTo(event.object().version());
        } else {
            subscription.mBuffer.add(mCodec.encode(event));
        }
    }

    /**
     * Returns whether the platform answered, and the collection is to be listed because the changes
     * since the position are gone or take too long.
     */
    private static boolean isAnswer(Throwable error) {
        return error instanceof PlatformException exception
                && (exception.failure() == PlatformFailure.GONE
                        || exception.failure() == PlatformFailure.BEHIND);
    }

    private Flux<WatchEvent> watchRelays(CollectionSubscription subscription) {
        return Flux.create(
                sink -> {
                    Optional<FluxSink<WatchEvent>> relaySink = Optional.of(sink);
                    subscription.mRelaySink = relaySink;
                    sink.onDispose(
                            () -> {
                                if (subscription.mRelaySink.equals(relaySink)) {
                                    subscription.mRelaySink = Optional.empty();
                                }
                            });
                    mNetwork.preferredRelay()
                            .ifPresent(relay -> mReceivedChanges.request(relay, subscription));
                });
    }

    private void tick() {
        mAnswers.recordActivity(now());
        for (CollectionSubscription subscription : List.copyOf(mSubscriptions.values())) {
            subscription.mRelaySink.ifPresent(sink -> endIfRelaysUnusable(subscription, sink));
        }
        mRelay.sendConfirmations();
    }

    private void endIfRelaysUnusable(
            CollectionSubscription subscription, FluxSink<WatchEvent> sink) {
        if (mNetwork.isRelay()) {
            switchToStore(subscription, sink, "this host is a relay");
        } else if (!hasActiveRelay(subscription)) {
            switchToStore(subscription, sink, "no relay knows the latest state");
        }
    }

    private void switchToStore(
            CollectionSubscription subscription, FluxSink<WatchEvent> sink, String reason) {
        logSource(subscription, "store", reason);
        subscription.mSwitchingSource = true;
        sink.complete();
    }

    /** Checks the age of what the relays know as soon as it may be too old. */
    private void scheduleAgeCheck(CollectionSubscription subscription) {
        if (!subscription.mAgeCheckScheduled) {
            subscription.mAgeCheckScheduled = true;
            mLoop.scheduler()
                    .schedule(
                            () -> checkAge(subscription),
                            subscription.nanosUntilTooOld(now()) + AGE_CHECK_DELAY_NANOS,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void checkAge(CollectionSubscription subscription) {
        subscription.mAgeCheckScheduled = false;
        subscription.mRelaySink.ifPresent(
                sink -> {
                    endIfRelaysUnusable(subscription, sink);
                    if (!subscription.mSwitchingSource) {
                        scheduleAgeCheck(subscription);
                    }
                });
    }

    private Mono<Envelope.Builder> handleChanges(Envelope message) {
        String sender = message.getSender();
        if (!mNetwork.isInOwnDomain(sender)) {
            return Mono.empty();
        }
        CollectionChanges changes = message.getCollectionChanges();
        for (ChangeRange range : changes.getRangesList()) {
            CollectionSubscription subscription = mSubscriptions.get(range.getCollection());
            if (subscription != null && range.getLost()) {
                subscription.removeRelay(sender);
                mLongPolls.handleStoreLost(sender, subscription);
                subscription.mRelaySink.ifPresent(sink -> endIfRelaysUnusable(subscription, sink));
            } else if (subscription != null) {
                handleRange(sender, subscription, range);
            }
        }
        return Mono.empty();
    }

    private void handleRange(String relay, CollectionSubscription subscription, ChangeRange range) {
        long knownUntil = now() - TimeUnit.MILLISECONDS.toNanos(range.getAgeMillis());
        subscription.recordConfirmation(relay, knownUntil, now());
        mAnswers.recordAnswer(knownUntil, now());
        if (subscription.mRelaySink.isPresent()) {
            scheduleAgeCheck(subscription);
            subscription.mRelaySink.ifPresent(sink -> applyRange(relay, subscription, sink, range));
        } else {
            subscription.mStoreSink.ifPresent(
                    sink -> addToOwnChanges(relay, subscription, sink, range));
            mLongPolls.handleRange(relay, subscription, range, knownUntil);
            if (canUseRelays(subscription)) {
                switchToRelays(subscription);
            }
        }
    }

    private void switchToRelays(CollectionSubscription subscription) {
        if (now() - subscription.mActiveSince >= STABLE_RELAY_NANOS) {
            if (subscription.mStoreWatch.isPresent()) {
                logSource(subscription, "relays", "the relays are active");
                subscription.restartStoreWatch();
            }
        }
    }

    /** Applies changes from a relay while this host receives all changes from relays. */
    private void applyRange(
            String relay,
            CollectionSubscription subscription,
            FluxSink<WatchEvent> sink,
            ChangeRange range) {
        if (range.getGone() && range.getPosition() > subscription.mBuffer.position()) {
            logSource(subscription, "store", "the relay no longer has all changes");
            sink.error(
                    new PlatformException(
                            PlatformFailure.GONE, "The relay no longer has all changes."));
            return;
        }
        mReceivedChanges.add(relay, subscription, range).forEach(sink::next);
    }

    /** Applies changes from a relay that this host has not read from the store yet. */
    private void addToOwnChanges(
            String relay,
            CollectionSubscription subscription,
            FluxSink<WatchEvent> sink,
            ChangeRange range) {
        List<WatchEvent> events = mReceivedChanges.add(relay, subscription, range);
        if (!events.isEmpty()) {
            events.forEach(sink::next);
            mRelay.scheduleForward();
        }
    }

    private void logSource(CollectionSubscription subscription, String source, String reason) {
        mLog.log(
                PeerEvent.CHANGES_FROM,
                field("collection", subscription.mCollection),
                field("source", source),
                field("reason", reason),
                field("position", subscription.mBuffer.position()));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
