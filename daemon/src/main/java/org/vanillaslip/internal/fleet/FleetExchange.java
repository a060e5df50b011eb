package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.FleetDigest;
import org.vanillaslip.messages.LoadForecast;
import org.vanillaslip.messages.LoadedModel;
import org.vanillaslip.messages.ServerState;
import reactor.core.publisher.Mono;

/**
 * Tells the host that orders loads what callers ask for, and all hosts what the servers hold. Only
 * changes are sent, since bytes between failure domains are paid for.
 */
public final class FleetExchange {

    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(300);
    private static final Duration DIGEST_INTERVAL = Duration.ofSeconds(1);

    /** Two digests in a row are missing. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(2100);

    /** Events that come together are sent together. */
    private static final Duration GATHER = Duration.ofMillis(4);

    /** Relays pass each digest on to all hosts. */
    private static final Duration GATHER_PER_HOST = Duration.ofNanos(500_000);

    /** A load that has ended is known to all hosts soon after this. */
    private static final Duration LONGEST_GATHER = Duration.ofMillis(200);

    /** A refused caller comes back after a load could have been planned. */
    private static final Duration UNPLANNED_RETRY = Duration.ofSeconds(2);

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final LoadController mController;
    private final DemandReporter mBook;
    private final WaitingCallQueue mRoom;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final CoalescingTask mChanges;
    private final Map<String, ServerState> mSent = new HashMap<>();
    private final Map<CallTarget, LoadForecast> mForecasts = new HashMap<>();
    private String mHolder = "";
    private long mHolderTerm;
    private long mDigestAt = Long.MIN_VALUE;
    private boolean mDemandSoon;

    /**
     * Creates an exchange that is not started.
     *
     * @param hosts number of hosts, this one included
     */
    public FleetExchange(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            LoadController controller,
            DemandReporter book,
            WaitingCallQueue room,
            PeerLinks links,
            IntSupplier hosts,
            DecisionLoop loop) {
        mHost = host;
        mLease = lease;
        mDirectory = directory;
        mController = controller;
        mBook = book;
        mRoom = room;
        mLinks = links;
        mLoop = loop;
        mChanges = digests(hosts, this::sendChanges, loop);
    }

    static CoalescingTask digests(IntSupplier hosts, Runnable send, DecisionLoop loop) {
        return new CoalescingTask(GATHER, GATHER_PER_HOST, LONGEST_GATHER, hosts, send, loop);
    }

    /** Starts to exchange messages. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.DEMAND_REPORT, this::demandReceived);
        mLinks.handle(Envelope.BodyCase.FLEET_DIGEST, this::digestReceived);
        mRoom.onModelMissing(target -> demandSoon());
        mRoom.setPlannerReachable(this::isPlannerReachable);
        mDirectory.onChange(this::digestSoon);
        mController.onForecast(this::forecast);
        long demand = DEMAND_INTERVAL.toNanos();
        mLoop.scheduler()
                .schedulePeriodically(this::sendDemand, demand, demand, TimeUnit.NANOSECONDS);
        long digest = DIGEST_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::sendAll, digest, digest, TimeUnit.NANOSECONDS);
    }

    /** Returns whether a host that orders loads is heard from; it sends a digest each second. */
    public boolean isPlannerReachable() {
        if (mLease.held()) {
            return mLease.mayOrder();
        }
        return mDigestAt != Long.MIN_VALUE
                && mLoop.clock().nowNanos() - mDigestAt < LONGEST_SILENCE.toNanos();
    }

    private void demandSoon() {
        if (!mDemandSoon) {
            mDemandSoon = true;
            later(this::sendDemand);
        }
    }

    private void sendDemand() {
        mDemandSoon = false;
        Optional<DemandReport> report = mBook.takeReport();
        if (report.isEmpty()) {
            return;
        }
        if (mLease.held()) {
            mController.recordDemand(mHost, report.get());
        } else {
            holder().ifPresent(
                            holder ->
                                    mLinks.send(
                                            holder,
                                            Envelope.newBuilder().setDemandReport(report.get())));
        }
    }

    private Optional<String> holder() {
        return mHolder.isEmpty() ? mLease.holder() : Optional.of(mHolder);
    }

    private Mono<Envelope.Builder> demandReceived(Envelope message) {
        if (mLease.held()) {
            mController.recordDemand(message.getSender(), message.getDemandReport());
        }
        return Mono.empty();
    }

    private void forecast(CallTarget target, Optional<Duration> expected) {
        apply(target, expected);
        LoadForecast.Builder forecast =
                LoadForecast.newBuilder()
                        .setPool(target.pool())
                        .setUnplanned(expected.isEmpty())
                        .setExpectedMillis(
                                (int) expected.map(Duration::toMillis).orElse(0L).longValue());
        target.model()
                .ifPresent(
                        model -> {
                            forecast.setModel(model.model());
                            model.adapter().ifPresent(forecast::setAdapter);
                        });
        mForecasts.put(target, forecast.build());
        digestSoon();
    }

    private void apply(CallTarget target, Optional<Duration> expected) {
        expected.ifPresentOrElse(
                wait -> mRoom.applyForecast(target, wait),
                () -> mRoom.refuseUnplanned(target, UNPLANNED_RETRY));
    }

    private void digestSoon() {
        if (mLease.held()) {
            mChanges.soon();
        }
    }

    private void sendChanges() {
        if (!mLease.held()) {
            return;
        }
        FleetDigest.Builder digest = FleetDigest.newBuilder().setTerm(mLease.term());
        for (FleetMember member : mDirectory.members()) {
            ServerState state = state(member);
            ServerState sent = mSent.get(member.instance());
            if (hasModels(state, sent) && (sent == null || !sameStock(sent, state))) {
                mSent.put(member.instance(), state);
                digest.addServers(state);
            }
        }
        digest.addAllForecasts(mForecasts.values());
        mForecasts.clear();
        if (digest.getServersCount() + digest.getForecastsCount() > 0) {
            broadcast(digest);
        }
    }

    private void sendAll() {
        if (!mLease.held()) {
            mSent.clear();
            return;
        }
        Set<String> instances =
                mDirectory.members().stream()
                        .map(FleetMember::instance)
                        .collect(Collectors.toSet());
        mSent.keySet().retainAll(instances);
        FleetDigest.Builder digest = FleetDigest.newBuilder().setTerm(mLease.term());
        for (FleetMember member : mDirectory.members()) {
            ServerState state = state(member);
            if (hasModels(state, mSent.get(member.instance()))) {
                mSent.put(member.instance(), state);
                digest.addServers(state);
            }
        }
        broadcast(digest);
    }

    private static boolean hasModels(ServerState state, @Nullable ServerState sent) {
        return state.getModelsCount() > 0 || sent != null;
    }

    private static boolean sameStock(ServerState one, ServerState other) {
        return one.getBornMillis() == other.getBornMillis()
                && one.getModelsList().equals(other.getModelsList());
    }

    private void broadcast(FleetDigest.Builder digest) {
        mLinks.broadcast(Envelope.newBuilder().setFleetDigest(digest));
    }

    private static ServerState state(FleetMember member) {
        ServerState.Builder state =
                ServerState.newBuilder()
                        .setServer(member.instance())
                        .setBornMillis(member.registered().startedAtMillis())
                        .setOrderCount(member.modelState().orderCount())
                        .setRunning(member.activeCalls());
        for (String model : new TreeSet<>(member.modelState().loaded().keySet())) {
            state.addModels(
                    LoadedModel.newBuilder()
                            .setModel(model)
                            .addAllAdapters(
                                    new TreeSet<>(
                                            member.modelState()
                                                    .loaded()
                                                    .getOrDefault(model, Set.of()))));
        }
        return state.build();
    }

    private Mono<Envelope.Builder> digestReceived(Envelope message) {
        FleetDigest digest = message.getFleetDigest();
        if (digest.getTerm() < mHolderTerm || mLease.held()) {
            return Mono.empty();
        }
        mHolderTerm = digest.getTerm();
        mHolder = message.getSender();
        mDigestAt = mLoop.clock().nowNanos();
        mDirectory.applyReports(
                digest.getServersList().stream()
                        .map(this::report)
                        .flatMap(Optional::stream)
                        .toList());
        for (LoadForecast forecast : digest.getForecastsList()) {
            apply(target(forecast), expected(forecast));
        }
        return Mono.empty();
    }

    private Optional<ServerReport> report(ServerState state) {
        return mDirectory
                .member(state.getServer())
                .map(member -> report(state, member.modelState()));
    }

    /** A digest does not tell what is in memory or on disk. */
    private static ServerReport report(ServerState state, ServerModelState known) {
        Map<String, Set<String>> loaded = new HashMap<>();
        state.getModelsList()
                .forEach(
                        model -> loaded.put(model.getModel(), Set.copyOf(model.getAdaptersList())));
        ServerModelState stock =
                new ServerModelState(
                        state.getOrderCount(), false, loaded, known.inMemory(), known.onDisk());
        return new ServerReport(
                state.getServer(),
                state.getBornMillis(),
                new ServerLoadReport(stock, state.getRunning(), state.getQueued()));
    }

    private static CallTarget target(LoadForecast forecast) {
        Optional<String> adapter =
                forecast.getAdapter().isEmpty()
                        ? Optional.empty()
                        : Optional.of(forecast.getAdapter());
        return new CallTarget(
                forecast.getPool(), Optional.of(new ModelName(forecast.getModel(), adapter)));
    }

    private static Optional<Duration> expected(LoadForecast forecast) {
        return forecast.getUnplanned()
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(forecast.getExpectedMillis()));
    }

    private void later(Runnable task) {
        mLoop.scheduler().schedule(task, GATHER.toNanos(), TimeUnit.NANOSECONDS);
    }
}
