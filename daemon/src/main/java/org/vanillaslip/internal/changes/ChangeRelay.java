package org.vanillaslip.internal.changes;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ChangeRange;
import org.vanillaslip.messages.ChangesRequest;
import org.vanillaslip.messages.CollectionChanges;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** What a relay tells the hosts of its failure domain about the changes that it has read. */
final class ChangeRelay {

    /** Changes that come together are passed on together. */
    private static final Duration GATHER = Duration.ofMillis(10);

    private final Map<String, CollectionSubscription> mFollows;
    private final ChangeCodec mCodec;
    private final BooleanSupplier mStoreWasAway;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private boolean mPassSoon;

    ChangeRelay(
            Map<String, CollectionSubscription> follows,
            ChangeCodec codec,
            BooleanSupplier storeWasAway,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop) {
        mFollows = follows;
        mCodec = codec;
        mStoreWasAway = storeWasAway;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
    }

    /** Says up to which positions all changes are known, if this host is a relay. */
    void confirm() {
        if (mNetwork.relay()) {
            CollectionChanges.Builder changes = changes();
            mFollows.values().stream()
                    .filter(CollectionSubscription::reads)
                    .forEach(
                            follow ->
                                    changes.addRanges(
                                            range(follow, follow.mFeed.position(), List.of())));
            if (changes.getRangesCount() > 0) {
                Envelope.Builder message = Envelope.newBuilder().setCollectionChanges(changes);
                mNetwork.members().forEach(member -> mLinks.send(member, message));
            }
        }
    }

    /** Passes changes on that have just been read. */
    void passSoon() {
        if (!mPassSoon) {
            mPassSoon = true;
            mLoop.scheduler().schedule(this::pass, GATHER.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void pass() {
        mPassSoon = false;
        List<String> members = mNetwork.preferringMembers();
        CollectionChanges.Builder changes = changes();
        for (CollectionSubscription follow : mFollows.values()) {
            long position = follow.mFeed.position();
            if (follow.mReading.isPresent() && position > follow.mPassedOn) {
                List<WatchEvent> events = follow.mFeed.since(follow.mPassedOn).orElse(List.of());
                if (!events.isEmpty() && !members.isEmpty()) {
                    changes.addRanges(range(follow, follow.mPassedOn, events));
                }
                follow.mPassedOn = position;
            }
        }
        if (changes.getRangesCount() > 0) {
            Envelope.Builder message = Envelope.newBuilder().setCollectionChanges(changes);
            members.forEach(member -> mLinks.send(member, message));
        }
    }

    /** Says that this relay may miss changes of the collection from now on. */
    void lost(CollectionSubscription follow) {
        ChangeRange.Builder range =
                ChangeRange.newBuilder().setCollection(follow.mName).setLost(true);
        Envelope.Builder message =
                Envelope.newBuilder().setCollectionChanges(changes().addRanges(range));
        mNetwork.members().forEach(member -> mLinks.send(member, message));
    }

    /** Answers a host that misses changes. */
    Mono<Envelope.Builder> asked(Envelope message) {
        ChangesRequest request = message.getChangesRequest();
        CollectionSubscription follow = mFollows.get(request.getCollection());
        if (follow == null || !follow.reads()) {
            return Mono.empty();
        }
        long position = request.getPosition();
        ChangeRange answer =
                follow.mFeed
                        .since(position)
                        .map(events -> range(follow, position, events))
                        .orElseGet(
                                () ->
                                        ChangeRange.newBuilder()
                                                .setCollection(follow.mName)
                                                .setAfter(position)
                                                .setPosition(follow.mFeed.position())
                                                .setGone(true)
                                                .build());
        mLinks.send(
                message.getSender(),
                Envelope.newBuilder().setCollectionChanges(changes().addRanges(answer)));
        return Mono.empty();
    }

    private CollectionChanges.Builder changes() {
        return CollectionChanges.newBuilder().setStoreWasAway(mStoreWasAway.getAsBoolean());
    }

    private ChangeRange range(CollectionSubscription follow, long after, List<WatchEvent> events) {
        ChangeRange.Builder range =
                ChangeRange.newBuilder()
                        .setCollection(follow.mName)
                        .setAfter(after)
                        .setPosition(follow.mFeed.position());
        events.forEach(event -> range.addChanges(mCodec.encode(event)));
        return range.build();
    }
}
