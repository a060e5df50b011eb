package org.vanillaslip.internal.peer;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Membership;
import org.vanillaslip.messages.Relayed;
import reactor.core.publisher.Mono;

/**
 * Sends messages to all hosts over the links of a {@link RelayNetwork}: from a host to its
 * preferred relay, from relay to relay, and from there to the hosts that prefer that relay.
 * Messages may be lost and are delivered at most once.
 */
public final class RelayedLinks implements PeerLinks {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    /** Ticks after which an unchanged membership is sent to the linked hosts again. */
    private static final int TICKS_PER_MEMBERSHIP_RESEND = 6;

    /** Host, relay, relay, host, and one additional hop around a broken link. */
    private static final int MAX_HOPS = 4;

    private final String mHost;
    private final String mIncarnation;
    private final PeerLinks mLinks;
    private final RelayNetwork mNetwork;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<Envelope.BodyCase, PeerHandler> mHandlers =
            new EnumMap<>(Envelope.BodyCase.class);
    private final Map<String, RecentMessageIds> mRecentIdsByOrigin = new HashMap<>();
    private final Map<String, Membership> mSentMemberships = new HashMap<>();
    private long mLastSequence;
    private int mTickCount;

    /**
     * Creates the links without starting them.
     *
     * @param incarnation identifier of this start of the process
     * @param links direct links to other hosts
     */
    public RelayedLinks(
            String host,
            String incarnation,
            PeerLinks links,
            RelayNetwork network,
            DecisionLoop loop,
            EventLog log) {
        mHost = host;
        mIncarnation = incarnation;
        mLinks = links;
        mNetwork = network;
        mLoop = loop;
        mLog = log;
    }

    /** Starts forwarding messages and sending the membership of this host. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.RELAYED, this::onRelayed);
        mLinks.handle(Envelope.BodyCase.MEMBERSHIP, this::onMembership);
        mLinks.handle(
                Envelope.BodyCase.HEARTBEAT,
                message -> {
                    recordMessageFrom(message.getSender());
                    return Mono.empty();
                });
        long periodNanos = TICK_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, 0, periodNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public Mono<Either<PeerFailure, Envelope>> request(
            String host, Envelope.Builder request, Duration timeout) {
        return mLinks.request(host, request, timeout);
    }

    @Override
    public void send(String host, Envelope.Builder message) {
        if (mLinks.linkedHosts().contains(host)) {
            mLinks.send(host, message);
        } else {
            forwardToDestination(newRelayedMessage(message).setDestination(host).build(), mHost);
        }
    }

    @Override
    public void broadcast(Envelope.Builder message) {
        forwardToAll(newRelayedMessage(message).build(), mHost);
    }

    @Override
    public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
        mHandlers.put(bodyCase, handler);
        mLinks.handle(
                bodyCase,
                message -> {
                    recordMessageFrom(message.getSender());
                    return handler.handle(message);
                });
    }

    @Override
    public Set<String> liveHosts() {
        return mLinks.liveHosts();
    }

    @Override
    public Set<String> linkedHosts() {
        return mLinks.linkedHosts();
    }

    /** Uses a new link at once: a host that has just started knows nothing without its relays. */
    private void recordMessageFrom(String neighbour) {
        if (!mNetwork.isLinked(neighbour) && mLinks.linkedHosts().contains(neighbour)) {
            refresh();
        }
        mNetwork.recordMessageFrom(neighbour);
    }

    private void tick() {
        refresh(mTickCount++ % TICKS_PER_MEMBERSHIP_RESEND == 0);
    }

    /** Determines the roles again after a change of the host list or of the links. */
    public void refresh() {
        refresh(false);
    }

    private void refresh(boolean resendAll) {
        mNetwork.refresh(mLinks.linkedHosts());
        Set<String> linked = mLinks.linkedHosts();
        mSentMemberships.keySet().retainAll(linked);
        mRecentIdsByOrigin.keySet().removeIf(origin -> mNetwork.domainOf(origin).isEmpty());
        for (String host : linked) {
            Membership membership = mNetwork.membershipFor(host);
            Membership previous = mSentMemberships.put(host, membership);
            if (resendAll || previous == null || !membership.equals(previous)) {
                mLinks.send(host, Envelope.newBuilder().setMembership(membership));
            }
        }
    }

    private Mono<Envelope.Builder> onMembership(Envelope message) {
        mNetwork.recordMessageFrom(message.getSender());
        mNetwork.updateMembership(message.getSender(), message.getMembership());
        return Mono.empty();
    }

    private Relayed.Builder newRelayedMessage(Envelope.Builder payload) {
        return Relayed.newBuilder()
                .setOrigin(mHost)
                .setOriginIncarnation(mIncarnation)
                .setSequence(++mLastSequence)
                .setPayload(payload);
    }

    private Mono<Envelope.Builder> onRelayed(Envelope message) {
        String neighbour = message.getSender();
        mNetwork.recordMessageFrom(neighbour);
        Relayed relayed = message.getRelayed();
        if (relayed.getOrigin().equals(mHost)) {
            return Mono.empty();
        }
        if (relayed.getDestination().equals(mHost)) {
            return deliver(relayed);
        }
        if (!relayed.getDestination().isEmpty()) {
            forwardToDestination(relayed, neighbour);
            return Mono.empty();
        }
        if (isNewMessage(relayed)) {
            forwardToAll(relayed, neighbour);
            return deliver(relayed);
        }
        return Mono.empty();
    }

    private Mono<Envelope.Builder> deliver(Relayed relayed) {
        Envelope payload =
                relayed.getPayload().toBuilder()
                        .setSender(relayed.getOrigin())
                        .setSenderIncarnation(relayed.getOriginIncarnation())
                        .build();
        PeerHandler handler = mHandlers.get(payload.getBodyCase());
        // Only messages that need no reply are relayed.
        return handler == null ? Mono.empty() : handler.handle(payload).then(Mono.empty());
    }

    /** Forwards a message for one host to the next hop. */
    private void forwardToDestination(Relayed relayed, String from) {
        Optional<String> next = nextHop(relayed.getDestination(), from);
        if (next.isEmpty() || relayed.getHops() >= MAX_HOPS) {
            mLog.log(
                    PeerEvent.NO_PATH,
                    field("host", relayed.getDestination()),
                    field("body", relayed.getPayload().getBodyCase()),
                    field("hops", relayed.getHops()));
            return;
        }
        mLinks.send(next.get(), withIncrementedHops(relayed));
    }

    private Optional<String> nextHop(String destination, String from) {
        if (mLinks.linkedHosts().contains(destination)) {
            return Optional.of(destination);
        }
        if (!mNetwork.isRelay()) {
            return mNetwork.preferredRelay().filter(host -> !host.equals(from));
        }
        List<String> relays =
                mNetwork.domainOf(destination).map(mNetwork::relaysOf).orElse(List.of());
        return firstExcept(relays, from)
                .or(() -> firstExcept(mNetwork.farRelays(), from))
                .or(() -> firstExcept(mNetwork.ownRelays(), from));
    }

    private static Optional<String> firstExcept(List<String> hosts, String excluded) {
        return hosts.stream().filter(host -> !host.equals(excluded)).findFirst();
    }

    /** Forwards a broadcast to the hosts that do not receive it from the sending neighbour. */
    private void forwardToAll(Relayed relayed, String from) {
        Set<String> next = new HashSet<>();
        if (mNetwork.isRelay()) {
            next.addAll(mNetwork.membersPreferringThisRelay());
            boolean fromRelay =
                    mNetwork.ownRelays().contains(from) || mNetwork.farRelays().contains(from);
            if (!fromRelay) {
                next.addAll(mNetwork.ownRelays());
                next.addAll(mNetwork.farRelays());
            }
        } else if (from.equals(mHost)) {
            mNetwork.preferredRelay().ifPresent(next::add);
        }
        next.remove(from);
        next.remove(relayed.getOrigin());
        Envelope.Builder message = withIncrementedHops(relayed);
        next.forEach(host -> mLinks.send(host, message));
    }

    private static Envelope.Builder withIncrementedHops(Relayed relayed) {
        return Envelope.newBuilder().setRelayed(relayed.toBuilder().setHops(relayed.getHops() + 1));
    }

    private boolean isNewMessage(Relayed relayed) {
        RecentMessageIds recentIds = mRecentIdsByOrigin.get(relayed.getOrigin());
        if (recentIds == null || !recentIds.belongsTo(relayed.getOriginIncarnation())) {
            recentIds = new RecentMessageIds(relayed.getOriginIncarnation());
            mRecentIdsByOrigin.put(relayed.getOrigin(), recentIds);
        }
        return recentIds.addIfNew(relayed.getSequence());
    }
}
