package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.gateway.Slot;
import org.vanillaslip.internal.gateway.SlotGate;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.SlotGrant;
import org.vanillaslip.messages.SlotRequest;
import reactor.core.publisher.Mono;

/**
 * Takes slots on starting servers from the lease holder of their control shard. A server whose ramp
 * is over needs no slots.
 */
public final class SlotService implements SlotGate {

    /** Slots of a host that died are free again after this time. */
    private static final Duration VALIDITY = Duration.ofSeconds(6);

    private static final Duration RENEWAL = Duration.ofSeconds(2);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
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
            PlacementView placement,
            PeerLinks links,
            LongSupplier slotIds,
            EventLog log) {
        mHost = host;
        mLoop = loop;
        mConfiguration = configuration;
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
        mPlacement
                .holder(server.controlShard())
                .ifPresent(
                        holder ->
                                mLinks.send(holder, Envelope.newBuilder().setSlotRequest(request)));
    }

    private Mono<List<Long>> send(BackendServer server, SlotRequest request, Duration wait) {
        if (mLedgers.owns(server.controlShard())) {
            return Mono.just(mLedgers.apply(server, request));
        }
        return mPlacement
                .holder(server.controlShard())
                .filter(holder -> !holder.equals(mHost))
                .map(
                        holder ->
                                mLinks.request(
                                                holder,
                                                Envelope.newBuilder().setSlotRequest(request),
                                                wait)
                                        .map(
                                                reply ->
                                                        reply.map(Envelope::getSlotGrant)
                                                                .map(SlotGrant::getSlotIdsList)
                                                                .getOrElse(List.of())))
                .orElse(Mono.just(List.of()));
    }

    private Mono<Envelope.Builder> answer(Envelope envelope) {
        SlotRequest request = envelope.getSlotRequest();
        Optional<BackendServer> server =
                mConfiguration
                        .current()
                        .map(current -> current.backendServers().get(request.getServer()));
        List<Long> ids = server.map(known -> mLedgers.apply(known, request)).orElse(List.of());
        return Mono.just(
                Envelope.newBuilder()
                        .setSlotGrant(
                                SlotGrant.newBuilder()
                                        .addAllSlotIds(ids)
                                        .setValidityMillis((int) VALIDITY.toMillis())));
    }
}
