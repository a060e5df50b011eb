package org.vanillaslip.internal.changes;

import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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
import org.vanillaslip.messages.ChangesRequest;
import org.vanillaslip.messages.CollectionChanges;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.ObjectChange;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The platform's store, whose collections only relays watch. Relays forward each change, and every
 * half second they confirm the position up to which they have all changes; a host that misses some
 * requests them. A host whose relays are silent, or no longer have the changes that it misses,
 * reads the store itself.
 */
public final class RelayedStore implements ObjectStore {

    private static final Duration CONFIRM_INTERVAL = Duration.ofMillis(500);

    /** The time of two missed confirmations and some delay. */
    private static final long RELAY_TIMEOUT_NANOS = Duration.ofMillis(1300).toNanos();

    /** A host ends its own watch of the store once its relays have been active for this long. */
    private static final long STABLE_RELAY_NANOS = Duration.ofMillis(1500).toNanos();

    private static final long REQUEST_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

    /** An outage of the store that a relay reported counts as recent for this long. */
    private static final long OUTAGE_VALIDITY_NANOS = Duration.ofMillis(1000).toNanos();

    private final ObjectStore mStore;
    private final BooleanSupplier mStoreWasUnavailable;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final ChangeCodec mCodec = new ChangeCodec();
    private final ChangeRelay mRelay;
    private final Map<String, CollectionSubscription> mSubscriptions = new HashMap<>();
    private long mOutageReportedAt = Long.MIN_VALUE / 2;

    /**
     * Creates a store that does not exchange changes until it is started.
     *
     * @param storeWasUnavailable whether the store recently failed to answer this host
     */
    public RelayedStore(
            ObjectStore store,
            BooleanSupplier storeWasUnavailable,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            EventLog log) {
        mStore = store;
        mStoreWasUnavailable = storeWasUnavailable;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
        mLog = log;
        mRelay = new ChangeRelay(mSubscriptions, mCodec, storeWasUnavailable, network, links, loop);
    }

    /** Starts exchanging changes with other hosts. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.CHANGES_REQUEST, mRelay::handleChangesRequest);
        mLinks.handle(Envelope.BodyCase.COLLECTION_CHANGES, this::handleChanges);
        long period = CONFIRM_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    /** Returns whether the store recently failed to answer this host or a relay. */
    public boolean wasRecentlyUnavailable() {
        return mStoreWasUnavailable.getAsBoolean()
                || now() - mOutageReportedAt < OUTAGE_VALIDITY_NANOS;
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
     * Watches a collection, through relays if possible. Each collection has one watch at a time.
     */
    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(
                () -> {
                    CollectionSubscription subscription = subscription(collection);
                    return canUseRelays(subscription)
                            ? watchRelays(subscription, fromVersion)
                            : watchStore(subscription, fromVersion);
                });
    }

    private CollectionSubscription subscription(String collection) {
        return mSubscriptions.computeIfAbsent(collection, CollectionSubscription::new);
    }

    /** On the first unanswered call, notifies the members that this relay may miss changes. */
    private void recordStoreAnswer(CollectionSubscription subscription, boolean answered) {
        if (subscription.mStoreAnswered && !answered) {
            mRelay.sendStoreLost(subscription);
        }
        subscription.mStoreAnswered = answered;
    }

    private boolean canUseRelays(CollectionSubscription subscription) {
        return !mNetwork.isRelay() && hasActiveRelay(subscription);
    }

    private boolean hasActiveRelay(CollectionSubscription subscription) {
        return subscription.hasActiveRelay(now(), RELAY_TIMEOUT_NANOS);
    }

    private Flux<WatchEvent> watchStore(CollectionSubscription subscription, long fromVersion) {
        Sinks.Empty<Void> end = Sinks.empty();
        Optional<Sinks.Empty<Void>> storeWatch = Optional.of(end);
        subscription.mBuffer.restartAt(fromVersion);
        subscription.mForwardedPosition = Math.max(subscription.mForwardedPosition, fromVersion);
        subscription.mStoreWatch = storeWatch;
        return mStore.watch(subscription.mCollection, fromVersion)
                .publishOn(mLoop.scheduler())
                .doOnNext(
                        event -> {
                            recordStoreAnswer(subscription, true);
                            subscription.mBuffer.add(event);
                            mRelay.scheduleForward();
                        })
                .doOnError(error -> recordStoreAnswer(subscription, isPositionGone(error)))
                .takeUntilOther(end.asMono())
                .doFinally(
                        signal -> {
                            if (subscription.mStoreWatch.equals(storeWatch)) {
                                subscription.mStoreWatch = Optional.empty();
                            }
                        });
    }

    /**
     * Returns whether the platform answered that it no longer has the changes since the position.
     */
    private static boolean isPositionGone(Throwable error) {
        return error instanceof PlatformException failure
                && failure.failure() == PlatformFailure.GONE;
    }

    private Flux<WatchEvent> watchRelays(CollectionSubscription subscription, long fromVersion) {
        return Flux.create(
                sink -> {
                    Optional<FluxSink<WatchEvent>> relaySink = Optional.of(sink);
                    subscription.mBuffer.restartAt(fromVersion);
                    subscription.mRelaySink = relaySink;
                    sink.onDispose(
                            () -> {
                                if (subscription.mRelaySink.equals(relaySink)) {
                                    subscription.mRelaySink = Optional.empty();
                                }
                            });
                    mNetwork.preferredRelay()
                            .ifPresent(relay -> requestChanges(relay, subscription));
                });
    }

    private void tick() {
        for (CollectionSubscription subscription : List.copyOf(mSubscriptions.values())) {
            subscription.mRelaySink.ifPresent(sink -> endIfRelaysUnusable(subscription, sink));
        }
        mRelay.sendConfirmations();
    }

    private void endIfRelaysUnusable(
            CollectionSubscription subscription, FluxSink<WatchEvent> sink) {
        if (mNetwork.isRelay()) {
            logSource(subscription, "store", "this host is a relay");
            sink.complete();
        } else if (!hasActiveRelay(subscription)) {
            logSource(subscription, "store", "no relay watches the platform");
            sink.error(
                    new PlatformException(
                            PlatformFailure.SILENT, "No relay watches the platform."));
        }
    }

    private void requestChanges(String relay, CollectionSubscription subscription) {
        subscription.mRequestedAt = now();
        mLinks.send(
                relay,
                Envelope.newBuilder()
                        .setChangesRequest(
                                ChangesRequest.newBuilder()
                                        .setCollection(subscription.mCollection)
                                        .setPosition(subscription.mBuffer.position())));
    }

    private Mono<Envelope.Builder> handleChanges(Envelope message) {
        CollectionChanges changes = message.getCollectionChanges();
        if (mNetwork.isRelay() || !mNetwork.isInOwnDomain(message.getSender())) {
            // The sender and this host disagree on which hosts are relays.
            return Mono.empty();
        }
        if (changes.getStoreWasAway()) {
            mOutageReportedAt = now();
        }
        for (ChangeRange range : changes.getRangesList()) {
            CollectionSubscription subscription = mSubscriptions.get(range.getCollection());
            if (subscription != null && range.getLost()) {
                subscription.removeRelay(message.getSender());
                subscription.mRelaySink.ifPresent(sink -> endIfRelaysUnusable(subscription, sink));
            } else if (subscription != null) {
                subscription.recordConfirmation(message.getSender(), now(), RELAY_TIMEOUT_NANOS);
                subscription.mRelaySink.ifPresentOrElse(
                        sink -> applyRange(message.getSender(), subscription, sink, range),
                        () -> switchToRelays(subscription));
            }
        }
        return Mono.empty();
    }

    private void switchToRelays(CollectionSubscription subscription) {
        if (now() - subscription.mConfirmedSince >= STABLE_RELAY_NANOS) {
            subscription.mStoreWatch.ifPresent(
                    storeWatch -> {
                        logSource(subscription, "relays", "the relays are active");
                        storeWatch.tryEmitEmpty();
                    });
        }
    }

    private void applyRange(
            String relay,
            CollectionSubscription subscription,
            FluxSink<WatchEvent> sink,
            ChangeRange range) {
        long position = subscription.mBuffer.position();
        if (range.getPosition() <= position) {
            return;
        }
        if (range.getGone()) {
            logSource(subscription, "store", "the relay no longer has all changes");
            sink.error(
                    new PlatformException(
                            PlatformFailure.GONE, "The relay no longer has all changes."));
            return;
        }
        if (range.getAfter() > position) {
            if (now() - subscription.mRequestedAt >= REQUEST_INTERVAL_NANOS) {
                requestChanges(relay, subscription);
            }
            return;
        }
        List<WatchEvent> events;
        try {
            events = decode(subscription, range, position);
        } catch (IOException e) {
            logSource(subscription, "store", String.valueOf(e.getMessage()));
            sink.error(
                    new PlatformException(
                            PlatformFailure.SILENT, "The changes from the relay are malformed."));
            return;
        }
        for (WatchEvent event : events) {
            subscription.mBuffer.add(event);
            sink.next(event);
        }
    }

    private List<WatchEvent> decode(
            CollectionSubscription subscription, ChangeRange range, long position)
            throws IOException {
        List<WatchEvent> events = new ArrayList<>();
        for (ObjectChange change : range.getChangesList()) {
            if (change.getObject().getVersion() > position) {
                events.add(mCodec.decode(subscription.mCollection, change));
            }
        }
        events.add(
                new WatchEvent(
                        WatchEventType.BOOKMARK,
                        new StoredObject(
                                subscription.mCollection,
                                "",
                                range.getPosition(),
                                JsonNodeFactory.instance.objectNode())));
        return events;
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
