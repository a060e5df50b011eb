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
 * The platform's store, whose changes only relays watch. They pass each change on, and confirm each
 * half second up to which position they know all changes; a host that misses some asks for them. A
 * host whose relays are silent, or no longer know what it misses, goes to the store itself.
 */
public final class RelayedStore implements ObjectStore {

    private static final Duration CONFIRM_INTERVAL = Duration.ofMillis(500);

    /** Two confirmations and some delay are missing. */
    private static final long SILENCE_NANOS = Duration.ofMillis(1300).toNanos();

    /** A host leaves the store to its relays when they were heard for this long. */
    private static final long STEADY_NANOS = Duration.ofMillis(1500).toNanos();

    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(150).toNanos();

    /** What a relay says about an outage of the store holds for this long. */
    private static final long AWAY_NANOS = Duration.ofMillis(1000).toNanos();

    private final ObjectStore mStore;
    private final BooleanSupplier mStoreWasAway;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final ChangeCodec mCodec = new ChangeCodec();
    private final ChangeRelay mRelay;
    private final Map<String, CollectionSubscription> mFollows = new HashMap<>();
    private long mAwayAt = Long.MIN_VALUE / 2;

    /**
     * Creates a store that is not started.
     *
     * @param storeWasAway whether the store did not answer this host a short while ago
     */
    public RelayedStore(
            ObjectStore store,
            BooleanSupplier storeWasAway,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            EventLog log) {
        mStore = store;
        mStoreWasAway = storeWasAway;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
        mLog = log;
        mRelay = new ChangeRelay(mFollows, mCodec, storeWasAway, network, links, loop);
    }

    /** Begins to exchange changes with other hosts. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.CHANGES_REQUEST, mRelay::asked);
        mLinks.handle(Envelope.BodyCase.COLLECTION_CHANGES, this::received);
        long period = CONFIRM_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    /** Returns whether the store did not answer this host or a relay a short while ago. */
    public boolean wasRecentlyUnavailable() {
        return mStoreWasAway.getAsBoolean() || now() - mAwayAt < AWAY_NANOS;
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
        CollectionSubscription follow = follow(collection);
        return mStore.list(collection)
                .publishOn(mLoop.scheduler())
                .doOnNext(result -> answered(follow, result.isRight()));
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

    /** Each collection has one watch at a time. */
    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(
                () -> {
                    CollectionSubscription follow = follow(collection);
                    return relaysServe(follow)
                            ? listen(follow, fromVersion)
                            : readStore(follow, fromVersion);
                });
    }

    private CollectionSubscription follow(String collection) {
        return mFollows.computeIfAbsent(collection, CollectionSubscription::new);
    }

    /** The members hear at once that this relay may miss changes. */
    private void answered(CollectionSubscription follow, boolean answered) {
        if (follow.mAnswered && !answered) {
            mRelay.lost(follow);
        }
        follow.mAnswered = answered;
    }

    private boolean relaysServe(CollectionSubscription follow) {
        return !mNetwork.relay() && isConfirmed(follow);
    }

    private boolean isConfirmed(CollectionSubscription follow) {
        return follow.isConfirmed(now(), SILENCE_NANOS);
    }

    private Flux<WatchEvent> readStore(CollectionSubscription follow, long fromVersion) {
        Sinks.Empty<Void> end = Sinks.empty();
        Optional<Sinks.Empty<Void>> reading = Optional.of(end);
        follow.mFeed.begin(fromVersion);
        follow.mPassedOn = Math.max(follow.mPassedOn, fromVersion);
        follow.mReading = reading;
        return mStore.watch(follow.mName, fromVersion)
                .publishOn(mLoop.scheduler())
                .doOnNext(
                        event -> {
                            answered(follow, true);
                            follow.mFeed.add(event);
                            mRelay.passSoon();
                        })
                .doOnError(error -> answered(follow, isOnlyOld(error)))
                .takeUntilOther(end.asMono())
                .doFinally(
                        signal -> {
                            if (follow.mReading.equals(reading)) {
                                follow.mReading = Optional.empty();
                            }
                        });
    }

    /** The platform answers, but no longer knows the changes after the position. */
    private static boolean isOnlyOld(Throwable error) {
        return error instanceof PlatformException failure
                && failure.failure() == PlatformFailure.GONE;
    }

    private Flux<WatchEvent> listen(CollectionSubscription follow, long fromVersion) {
        return Flux.create(
                sink -> {
                    Optional<FluxSink<WatchEvent>> listener = Optional.of(sink);
                    follow.mFeed.begin(fromVersion);
                    follow.mListener = listener;
                    sink.onDispose(
                            () -> {
                                if (follow.mListener.equals(listener)) {
                                    follow.mListener = Optional.empty();
                                }
                            });
                    mNetwork.preferredRelay().ifPresent(relay -> ask(relay, follow));
                });
    }

    private void tick() {
        for (CollectionSubscription follow : List.copyOf(mFollows.values())) {
            follow.mListener.ifPresent(listener -> check(follow, listener));
        }
        mRelay.confirm();
    }

    private void check(CollectionSubscription follow, FluxSink<WatchEvent> listener) {
        if (mNetwork.relay()) {
            logSource(follow, "store", "this host is a relay");
            listener.complete();
        } else if (!isConfirmed(follow)) {
            logSource(follow, "store", "no relay reads the platform");
            listener.error(
                    new PlatformException(PlatformFailure.SILENT, "No relay reads the platform."));
        }
    }

    private void ask(String relay, CollectionSubscription follow) {
        follow.mAskedAt = now();
        mLinks.send(
                relay,
                Envelope.newBuilder()
                        .setChangesRequest(
                                ChangesRequest.newBuilder()
                                        .setCollection(follow.mName)
                                        .setPosition(follow.mFeed.position())));
    }

    private Mono<Envelope.Builder> received(Envelope message) {
        CollectionChanges changes = message.getCollectionChanges();
        if (mNetwork.relay() || !mNetwork.isNear(message.getSender())) {
            // The sender and this host differ about who is a relay.
            return Mono.empty();
        }
        if (changes.getStoreWasAway()) {
            mAwayAt = now();
        }
        for (ChangeRange range : changes.getRangesList()) {
            CollectionSubscription follow = mFollows.get(range.getCollection());
            if (follow != null && range.getLost()) {
                follow.lost(message.getSender());
                follow.mListener.ifPresent(listener -> check(follow, listener));
            } else if (follow != null) {
                follow.confirmed(message.getSender(), now(), SILENCE_NANOS);
                follow.mListener.ifPresentOrElse(
                        listener -> take(message.getSender(), follow, listener, range),
                        () -> leaveStore(follow));
            }
        }
        return Mono.empty();
    }

    private void leaveStore(CollectionSubscription follow) {
        if (now() - follow.mConfirmedSince >= STEADY_NANOS) {
            follow.mReading.ifPresent(
                    reading -> {
                        logSource(follow, "relays", "the relays are heard");
                        reading.tryEmitEmpty();
                    });
        }
    }

    private void take(
            String relay,
            CollectionSubscription follow,
            FluxSink<WatchEvent> listener,
            ChangeRange range) {
        long position = follow.mFeed.position();
        if (range.getPosition() <= position) {
            return;
        }
        if (range.getGone()) {
            logSource(follow, "store", "the relay does not know all changes");
            listener.error(
                    new PlatformException(
                            PlatformFailure.GONE, "The relay does not know all changes."));
            return;
        }
        if (range.getAfter() > position) {
            if (now() - follow.mAskedAt >= ASK_AGAIN_NANOS) {
                ask(relay, follow);
            }
            return;
        }
        List<WatchEvent> events;
        try {
            events = decode(follow, range, position);
        } catch (IOException e) {
            logSource(follow, "store", String.valueOf(e.getMessage()));
            listener.error(new PlatformException(PlatformFailure.SILENT, "malformed changes"));
            return;
        }
        for (WatchEvent event : events) {
            follow.mFeed.add(event);
            listener.next(event);
        }
    }

    private List<WatchEvent> decode(CollectionSubscription follow, ChangeRange range, long position)
            throws IOException {
        List<WatchEvent> events = new ArrayList<>();
        for (ObjectChange change : range.getChangesList()) {
            if (change.getObject().getVersion() > position) {
                events.add(mCodec.decode(follow.mName, change));
            }
        }
        events.add(
                new WatchEvent(
                        WatchEventType.BOOKMARK,
                        new StoredObject(
                                follow.mName,
                                "",
                                range.getPosition(),
                                JsonNodeFactory.instance.objectNode())));
        return events;
    }

    private void logSource(CollectionSubscription follow, String source, String reason) {
        mLog.log(
                PeerEvent.CHANGES_FROM,
                field("collection", follow.mName),
                field("source", source),
                field("reason", reason),
                field("position", follow.mFeed.position()));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
