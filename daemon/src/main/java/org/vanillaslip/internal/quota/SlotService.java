package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.gateway.Slot;
import org.vanillaslip.internal.gateway.SlowStartSlots;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.SlotGrant;
import org.vanillaslip.messages.SlotRequest;
import reactor.core.publisher.Mono;

/**
 * Acquires slots on starting servers from the lease holder of their control shard. A server that
 * has completed its ramp needs no slots. A host of another failure domain does not know the holder
 * and sends its request to any live host of the server's domain, which forwards it.
 */
public final class SlotService implements SlowStartSlots {

    /** Slots of a failed host are free again after this time. */
    private static final Duration SLOT_VALIDITY = Duration.ofSeconds(6);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

    /** Shorter than the timeout of the requesting host, so that the answer arrives in time. */
    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(300);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
    private final HostView mHosts;
    private final PlacementView mPlacement;
    private final PeerLinks mLinks;
    private final EventLog mLog;
    private final SlotLedgers mLedgers;
    private final Set<HeldSlot> mHeldSlots = new HashSet<>();

    /**
     * Creates a service that is not started yet.
     *
     * @param slotIds random numbers, unique over all hosts
     */
    public SlotService(
            String host,
            DecisionLoop loop,
            ConfigurationView configuration,
            HostView hosts,
            PlacementView placement,
            PeerLinks links,
            LongSupplier slotIds,
            EventLog log) {
        mHost = host;
        mLoop = loop;
        mConfiguration = configuration;
        mHosts = hosts;
        mPlacement = placement;
        mLinks = links;
        mLog = log;
        mLedgers = new SlotLedgers(host, loop.clock(), placement, SLOT_VALIDITY.toNanos(), slotIds);
    }

    /** Starts answering other hosts and renewing held slots. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.SLOT_REQUEST, this::answer);
        mLoop.scheduler()
                .schedulePeriodically(
                        this::tick, 0, RENEWAL_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public Mono<Optional<Slot>> acquire(Replica replica, Duration wait) {
        return Mono.defer(() -> acquireOnLoop(replica, wait))
                .subscribeOn(mLoop.scheduler())
                .publishOn(mLoop.scheduler());
    }

    private Mono<Optional<Slot>> acquireOnLoop(Replica replica, Duration wait) {
        BackendServer server = replica.server();
        Optional<ServerLoad> load = mPlacement.load(server.name());
        boolean rampCompleted =
                load.filter(reported -> reported.incarnation().equals(replica.incarnation()))
                        .filter(
                                reported ->
                                        reported.uptime().compareTo(server.slowStart().ramp()) >= 0)
                        .isPresent();
        if (rampCompleted) {
            return Mono.just(Optional.of(() -> {}));
        }
        SlotRequest request =
                SlotRequest.newBuilder()
                        .setServer(server.name())
                        .setServerIncarnation(replica.incarnation())
                        .setAcquire(1)
                        .build();
        long sentAt = mLoop.clock().nowNanos();
        return acquireSlots(server, request, wait).map(ids -> holdSlot(replica, ids, sentAt));
    }

    private Optional<Slot> holdSlot(Replica replica, List<Long> ids, long sentAt) {
        if (ids.isEmpty()) {
            mLog.log(QuotaEvent.SLOT_REFUSED, field("server", replica.server().name()));
            return Optional.empty();
        }
        HeldSlot slot =
                new HeldSlot(replica.server(), replica.incarnation(), ids.get(0), this::release);
        mHeldSlots.add(slot);
        if (mLoop.clock().nowNanos() - sentAt >= SLOT_VALIDITY.toNanos()) {
            slot.release();
            return Optional.empty();
        }
        return Optional.of(slot);
    }

    private void release(HeldSlot slot) {
        mLoop.scheduler()
                .schedule(
                        () -> {
                            if (mHeldSlots.remove(slot)) {
                                SlotRequest request =
                                        SlotRequest.newBuilder()
                                                .setServer(slot.server().name())
                                                .setServerIncarnation(slot.incarnation())
                                                .addRelease(slot.id())
                                                .build();
                                sendToHolder(slot.server(), request);
                            }
                        });
    }

    private void tick() {
        mConfiguration
                .current()
                .ifPresent(
                        configuration ->
                                configuration.backendServers().values().stream()
                                        .map(BackendServer::controlShard)
                                        .distinct()
                                        .forEach(mLedgers::updateOwnership));
        Map<BackendServer, List<HeldSlot>> byServer =
                mHeldSlots.stream().collect(Collectors.groupingBy(HeldSlot::server));
        byServer.forEach(this::renew);
    }

    private void renew(BackendServer server, List<HeldSlot> slots) {
        Map<String, List<HeldSlot>> byIncarnation =
                slots.stream().collect(Collectors.groupingBy(HeldSlot::incarnation));
        byIncarnation.forEach(
                (incarnation, renewed) ->
                        sendToHolder(
                                server,
                                SlotRequest.newBuilder()
                                        .setServer(server.name())
                                        .setServerIncarnation(incarnation)
                                        .addAllRenew(renewed.stream().map(HeldSlot::id).toList())
                                        .build()));
    }

    private void sendToHolder(BackendServer server, SlotRequest request) {
        if (mLedgers.updateOwnership(server.controlShard())) {
            mLedgers.apply(server, request);
            return;
        }
        holderOrForwarder(server)
                .ifPresent(
                        host -> mLinks.send(host, Envelope.newBuilder().setSlotRequest(request)));
    }

    /** Returns the lease holder, or else a host of the server's domain that knows the holder. */
    private Optional<String> holderOrForwarder(BackendServer server) {
        return holder(server).or(() -> liveHostOf(server.failureDomain()));
    }

    private Optional<String> holder(BackendServer server) {
        return mPlacement.holder(server.controlShard()).filter(host -> !host.equals(mHost));
    }

    private Optional<String> liveHostOf(FailureDomain domain) {
        Set<String> live = mLinks.liveHosts();
        return mHosts.hosts().stream()
                .filter(host -> host.failureDomain().equals(domain))
                .map(Host::name)
                .filter(live::contains)
                .min(Comparator.naturalOrder());
    }

    private boolean isInDomain(String name, FailureDomain domain) {
        return mHosts.hosts().stream()
                .anyMatch(host -> host.name().equals(name) && host.failureDomain().equals(domain));
    }

    private Mono<List<Long>> acquireSlots(
            BackendServer server, SlotRequest request, Duration wait) {
        if (mLedgers.updateOwnership(server.controlShard())) {
            return Mono.just(mLedgers.apply(server, request));
        }
        return holderOrForwarder(server)
                .map(host -> requestSlots(host, request, wait))
                .orElse(Mono.just(List.of()));
    }

    private Mono<List<Long>> requestSlots(String host, SlotRequest request, Duration wait) {
        return mLinks.request(host, Envelope.newBuilder().setSlotRequest(request), wait)
                .map(
                        reply ->
                                reply.map(Envelope::getSlotGrant)
                                        .map(SlotGrant::getSlotIdsList)
                                        .getOrElse(List.of()));
    }

    private Mono<Envelope.Builder> answer(Envelope envelope) {
        SlotRequest request = envelope.getSlotRequest();
        return mConfiguration
                .current()
                .map(current -> current.backendServers().get(request.getServer()))
                .map(server -> answer(envelope.getSender(), server, request))
                .orElse(Mono.just(List.of()))
                .map(SlotService::grant);
    }

    /** Forwards only requests from other failure domains, so that no request can loop. */
    private Mono<List<Long>> answer(String sender, BackendServer server, SlotRequest request) {
        if (mLedgers.updateOwnership(server.controlShard())) {
            return Mono.just(mLedgers.apply(server, request));
        }
        return holder(server)
                .filter(holder -> !isInDomain(sender, server.failureDomain()))
                .map(holder -> requestSlots(holder, request, FORWARD_TIMEOUT))
                .orElse(Mono.just(List.of()));
    }

    private static Envelope.Builder grant(List<Long> ids) {
        return Envelope.newBuilder()
                .setSlotGrant(
                        SlotGrant.newBuilder()
                                .addAllSlotIds(ids)
                                .setValidityMillis((int) SLOT_VALIDITY.toMillis()));
    }
}
