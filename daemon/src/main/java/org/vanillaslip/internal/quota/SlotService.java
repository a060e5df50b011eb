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
 * Takes slots on starting servers from the lease holder of their control shard. A server whose ramp
 * is over needs no slots. A host of another failure domain doesn't know the holder and asks any
 * live host of the server's domain, which passes the request on.
 */
public final class SlotService implements SlowStartSlots {

    /** Slots of a host that died are free again after this time. */
    private static final Duration VALIDITY = Duration.ofSeconds(6);

    private static final Duration RENEWAL = Duration.ofSeconds(2);

    /** Shorter than the wait of the host that asked, so that it gets the answer. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(300);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
    private final HostView mHosts;
    private final PlacementView mPlacement;
    private final PeerLinks mLinks;
    private final EventLog mLog;
    private final SlotLedgers mLedgers;
    private final Set<HeldSlot> mHeld = new HashSet<>();

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
        mLedgers = new SlotLedgers(host, loop.clock(), placement, VALIDITY.toNanos(), slotIds);
    }

    /** Answers other hosts and renews held slots from now on. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.SLOT_REQUEST, this::answer);
        mLoop.scheduler()
                .schedulePeriodically(this::tick, 0, RENEWAL.toNanos(), TimeUnit.NANOSECONDS);
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
        boolean warm =
                load.filter(found -> found.incarnation().equals(replica.incarnation()))
                        .filter(found -> found.uptime().compareTo(server.slowStart().ramp()) >= 0)
                        .isPresent();
        if (warm) {
            return Mono.just(Optional.of(() -> {}));
        }
        SlotRequest request =
                SlotRequest.newBuilder()
                        .setServer(server.name())
                        .setServerIncarnation(replica.incarnation())
                        .setAcquire(1)
                        .build();
        long sentAt = mLoop.clock().nowNanos();
        return send(server, request, wait).map(ids -> held(replica, ids, sentAt));
    }

    private Optional<Slot> held(Replica replica, List<Long> ids, long sentAt) {
        if (ids.isEmpty()) {
            mLog.log(QuotaEvent.SLOT_REFUSED, field("server", replica.server().name()));
            return Optional.empty();
        }
        HeldSlot slot =
                new HeldSlot(replica.server(), replica.incarnation(), ids.get(0), this::release);
        mHeld.add(slot);
        if (mLoop.clock().nowNanos() - sentAt >= VALIDITY.toNanos()) {
            slot.release();
            return Optional.empty();
        }
        return Optional.of(slot);
    }

    private void release(HeldSlot slot) {
        mLoop.scheduler()
                .schedule(
                        () -> {
                            if (mHeld.remove(slot)) {
                                SlotRequest request =
                                        SlotRequest.newBuilder()
                                                .setServer(slot.server().name())
                                                .setServerIncarnation(slot.incarnation())
                                                .addRelease(slot.id())
                                                .build();
                                notifyOwner(slot.server(), request);
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
                                        .forEach(mLedgers::owns));
        Map<BackendServer, List<HeldSlot>> byServer =
                mHeld.stream().collect(Collectors.groupingBy(HeldSlot::server));
        byServer.forEach(this::renew);
    }

    private void renew(BackendServer server, List<HeldSlot> slots) {
        Map<String, List<HeldSlot>> byIncarnation =
                slots.stream().collect(Collectors.groupingBy(HeldSlot::incarnation));
        byIncarnation.forEach(
                (incarnation, renewed) ->
                        notifyOwner(
                                server,
                                SlotRequest.newBuilder()
                                        .setServer(server.name())
                                        .setServerIncarnation(incarnation)
                                        .addAllRenew(renewed.stream().map(HeldSlot::id).toList())
                                        .build()));
    }

    private void notifyOwner(BackendServer server, SlotRequest request) {
        if (mLedgers.owns(server.controlShard())) {
            mLedgers.apply(server, request);
            return;
        }
        granter(server)
                .ifPresent(
                        host -> mLinks.send(host, Envelope.newBuilder().setSlotRequest(request)));
    }

    /** Returns the lease holder, or another host that knows it. */
    private Optional<String> granter(BackendServer server) {
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

    private boolean isOfDomain(String name, FailureDomain domain) {
        return mHosts.hosts().stream()
                .anyMatch(host -> host.name().equals(name) && host.failureDomain().equals(domain));
    }

    private Mono<List<Long>> send(BackendServer server, SlotRequest request, Duration wait) {
        if (mLedgers.owns(server.controlShard())) {
            return Mono.just(mLedgers.apply(server, request));
        }
        return granter(server).map(host -> ask(host, request, wait)).orElse(Mono.just(List.of()));
    }

    private Mono<List<Long>> ask(String host, SlotRequest request, Duration wait) {
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

    /** Only requests from other failure domains are passed on, so that none can circulate. */
    private Mono<List<Long>> answer(String sender, BackendServer server, SlotRequest request) {
        if (mLedgers.owns(server.controlShard())) {
            return Mono.just(mLedgers.apply(server, request));
        }
        return holder(server)
                .filter(holder -> !isOfDomain(sender, server.failureDomain()))
                .map(holder -> ask(holder, request, RELAY_TIMEOUT))
                .orElse(Mono.just(List.of()));
    }

    private static Envelope.Builder grant(List<Long> ids) {
        return Envelope.newBuilder()
                .setSlotGrant(
                        SlotGrant.newBuilder()
                                .addAllSlotIds(ids)
                                .setValidityMillis((int) VALIDITY.toMillis()));
    }
}
