package org.vanillaslip.internal.changes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ChangeRange;
import org.vanillaslip.messages.ChangesRequest;
import org.vanillaslip.messages.CollectionChanges;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.ObjectChange;
import reactor.core.publisher.Mono;

/** Forwards the changes that a relay has read to the hosts of its failure domain. */
final class ChangeRelay {

    /** Changes that arrive within this time are forwarded in one message. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(10);

    /** Ranges of several collections go into one message up to this size. */
    private static final int MAX_MESSAGE_BYTES = ChangeBuffer.MAX_BYTES;

    private final Map<String, CollectionSubscription> mSubscriptions;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private boolean mForwardScheduled;

    ChangeRelay(
            Map<String, CollectionSubscription> subscriptions,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop) {
        mSubscriptions = subscriptions;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
    }

    /**
     * If this host is a relay, sends its members and the other relays of its failure domain the
     * positions up to which it has all changes.
     */
    void sendConfirmations() {
        if (mNetwork.isRelay()) {
            CollectionChanges.Builder changes = CollectionChanges.newBuilder();
            mSubscriptions.values().stream()
                    .filter(CollectionSubscription::isReadingStore)
                    .forEach(subscription -> changes.addRanges(confirmation(subscription)));
            send(changes, mNetwork.members());
            send(changes, mNetwork.ownRelays());
        }
    }

    private ChangeRange confirmation(CollectionSubscription subscription) {
        return toRange(subscription, subscription.mBuffer.position(), List.of());
    }

    private void send(CollectionChanges.Builder changes, List<String> hosts) {
        CollectionChanges.Builder part = CollectionChanges.newBuilder();
        int bytes = 0;
        for (ChangeRange range : changes.getRangesList()) {
            if (bytes > 0 && bytes + range.getSerializedSize() > MAX_MESSAGE_BYTES) {
                sendPart(part, hosts);
                part = CollectionChanges.newBuilder();
                bytes = 0;
            }
            part.addRanges(range);
            bytes += range.getSerializedSize();
        }
        if (bytes > 0) {
            sendPart(part, hosts);
        }
    }

    private void sendPart(CollectionChanges.Builder changes, List<String> hosts) {
        Envelope.Builder message = Envelope.newBuilder().setCollectionChanges(changes);
        hosts.forEach(host -> mLinks.send(host, message));
    }

    /** Schedules forwarding of the changes read since the last time. */
    void scheduleForward() {
        if (!mForwardScheduled) {
            mForwardScheduled = true;
            mLoop.scheduler()
                    .schedule(this::forwardChanges, BATCH_DELAY.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Forwards new changes, and confirms answers of the platform without changes, to the members
     * that prefer this relay and to the other relays of its failure domain.
     */
    private void forwardChanges() {
        mForwardScheduled = false;
        List<String> receivers = new ArrayList<>(mNetwork.membersPreferringThisRelay());
        if (mNetwork.isRelay()) {
            receivers.addAll(mNetwork.ownRelays());
        }
        CollectionChanges.Builder changes = CollectionChanges.newBuilder();
        for (CollectionSubscription subscription : mSubscriptions.values()) {
            if (subscription.mStoreWatch.isPresent()) {
                addNewChanges(subscription, changes);
            }
        }
        send(changes, receivers);
        List<String> otherMembers = new ArrayList<>(mNetwork.members());
        otherMembers.removeAll(receivers);
        send(changesOfRareCollections(changes), otherMembers);
    }

    /**
     * Returns the ranges that both relays send to all members, so that members do not wait for the
     * next confirmation while the relay that they prefer is silent.
     */
    private CollectionChanges.Builder changesOfRareCollections(CollectionChanges.Builder changes) {
        CollectionChanges.Builder rare = CollectionChanges.newBuilder();
        changes.getRangesList().stream()
                .filter(range -> range.getChangesCount() > 0)
                .filter(range -> isRarelyChanging(range.getCollection()))
                .forEach(rare::addRanges);
        return rare;
    }

    private boolean isRarelyChanging(String collection) {
        CollectionSubscription subscription = mSubscriptions.get(collection);
        return subscription != null && subscription.mRarelyChanging;
    }

    private void addNewChanges(
            CollectionSubscription subscription, CollectionChanges.Builder changes) {
        long position = subscription.mBuffer.position();
        List<ObjectChange> events =
                position > subscription.mForwardedPosition
                        ? subscription
                                .mBuffer
                                .changesAfter(subscription.mForwardedPosition)
                                .orElse(List.of())
                        : List.of();
        if (!events.isEmpty()) {
            changes.addRanges(toRange(subscription, subscription.mForwardedPosition, events));
        } else if (subscription.isReadingStore()
                && subscription.knownUntilNanos() - subscription.mConfirmedAt > 0) {
            changes.addRanges(confirmation(subscription));
        }
        subscription.mForwardedPosition = Math.max(subscription.mForwardedPosition, position);
        subscription.mConfirmedAt = subscription.knownUntilNanos();
    }

    /** Notifies the members that this relay may miss changes of the collection from now on. */
    void sendStoreLost(CollectionSubscription subscription) {
        ChangeRange.Builder range =
                ChangeRange.newBuilder().setCollection(subscription.mCollection).setLost(true);
        Envelope.Builder message =
                Envelope.newBuilder()
                        .setCollectionChanges(CollectionChanges.newBuilder().addRanges(range));
        mNetwork.members().forEach(member -> mLinks.send(member, message));
        mNetwork.ownRelays().forEach(relay -> mLinks.send(relay, message));
    }

    /** Answers a host that requests the changes after its position. */
    Mono<Envelope.Builder> handleChangesRequest(Envelope message) {
        ChangesRequest request = message.getChangesRequest();
        CollectionSubscription subscription = mSubscriptions.get(request.getCollection());
        if (subscription == null || !subscription.isReadingStore()) {
            return Mono.empty();
        }
        long position = request.getPosition();
        ChangeRange answer =
                subscription
                        .mBuffer
                        .changesAfter(position)
                        .map(events -> toRange(subscription, position, events))
                        .orElseGet(
                                () ->
                                        ChangeRange.newBuilder()
                                                .setCollection(subscription.mCollection)
                                                .setAfter(position)
                                                .setPosition(subscription.mBuffer.position())
                                                .setAgeMillis(ageMillis(subscription))
                                                .setGone(true)
                                                .build());
        mLinks.send(
                message.getSender(),
                Envelope.newBuilder()
                        .setCollectionChanges(CollectionChanges.newBuilder().addRanges(answer)));
        return Mono.empty();
    }

    private ChangeRange toRange(
            CollectionSubscription subscription, long after, List<ObjectChange> events) {
        ChangeRange.Builder range =
                ChangeRange.newBuilder()
                        .setCollection(subscription.mCollection)
                        .setAfter(after)
                        .setPosition(subscription.mBuffer.position())
                        .setAgeMillis(ageMillis(subscription));
        return range.addAllChanges(events).build();
    }

    /** Returns the time since the platform last answered this host, or the relay it follows. */
    private int ageMillis(CollectionSubscription subscription) {
        long ageNanos = mLoop.clock().nowNanos() - subscription.knownUntilNanos();
        return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(ageNanos));
    }
}
