package org.vanillaslip.internal.changes;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ChangeRange;
import org.vanillaslip.messages.ChangesRequest;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.ObjectChange;

/** Adds the changes that relays send to the buffers of this host and requests missing ones. */
final class ReceivedChanges {

    private static final long REQUEST_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

    private final ChangeCodec mCodec;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;

    ReceivedChanges(ChangeCodec codec, PeerLinks links, DecisionLoop loop) {
        mCodec = codec;
        mLinks = links;
        mLoop = loop;
    }

    /** Requests the changes after the position of this host. */
    void request(String relay, CollectionSubscription subscription) {
        subscription.mRequestedAt = mLoop.clock().nowNanos();
        subscription.mRequestedFrom = relay;
        mLinks.send(
                relay,
                Envelope.newBuilder()
                        .setChangesRequest(
                                ChangesRequest.newBuilder()
                                        .setCollection(subscription.mCollection)
                                        .setPosition(subscription.mBuffer.position())));
    }

    /**
     * Adds the changes that this host does not have to its buffer and returns them. If some before
     * them are missing, requests those.
     */
    List<WatchEvent> add(String relay, CollectionSubscription subscription, ChangeRange range) {
        long position = subscription.mBuffer.position();
        if (range.getGone() || range.getPosition() <= position) {
            return List.of();
        }
        if (range.getAfter() > position) {
            if (mayRequest(relay, subscription, range)) {
                request(relay, subscription);
            }
            return List.of();
        }
        List<WatchEvent> events = decode(subscription, range, position);
        subscription.mBuffer.advanceTo(range.getPosition());
        subscription.mReceivedPosition = range.getPosition();
        return events;
    }

    /**
     * Returns whether the last request is some time ago. Rarely changing collections do not wait
     * for that if the range has changes, which would otherwise be known only after the next
     * confirmation, or if the last request went to another relay, which does not answer it while
     * the store does not answer that relay.
     */
    private boolean mayRequest(
            String relay, CollectionSubscription subscription, ChangeRange range) {
        return mLoop.clock().nowNanos() - subscription.mRequestedAt >= REQUEST_INTERVAL_NANOS
                || subscription.mRarelyChanging
                        && (range.getChangesCount() > 0
                                || !relay.equals(subscription.mRequestedFrom));
    }

    private List<WatchEvent> decode(
            CollectionSubscription subscription, ChangeRange range, long position) {
        List<WatchEvent> events = new ArrayList<>();
        for (ObjectChange change : range.getChangesList()) {
            if (change.getObject().getVersion() > position) {
                subscription.mBuffer.add(change);
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
}
