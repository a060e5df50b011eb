package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
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
 * Sends this host's demand to the lease holder, and from the lease holder the loaded models of all
 * servers to all hosts and forecasts of loads to the hosts that wait for them. Between full digests
 * only changes are sent, since traffic between failure domains is billed.
 */
public final class FleetExchange {

    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(300);
    private static final Duration DIGEST_INTERVAL = Duration.ofSeconds(1);

    /** Exceeded if two digests in a row are missing. */
    private static final Duration MAX_DIGEST_AGE = Duration.ofMillis(2100);

    /** Events that occur within this time are sent together. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(4);

    /** Grows with the number of hosts, because relays forward each digest to all of them. */
    private static final Duration BATCH_DELAY_PER_HOST = Duration.ofNanos(500_000);

    /** Bounds the time until all hosts know that a load has ended. */
    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(200);

    /** Longer than the interval of demand reports, each of which leads to a new forecast. */
    private static final Duration FORECAST_RETENTION = Duration.ofSeconds(2);

    /** By the time a refused caller retries, a load may be planned. */
    private static final Duration UNPLANNED_RETRY_AFTER = Duration.ofSeconds(2);

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final LoadController mController;
    private final DemandReporter mDemandReporter;
    private final WaitingCallQueue mWaitingCalls;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final CoalescingTask mChangesTask;
    private final Map<String, ServerState> mLastSentStates = new HashMap<>();
    private final ForecastOutbox mForecasts = new ForecastOutbox();
    private String mHolder = "";
    private long mHolderTerm;
    private long mDigestReceivedAt = Long.MIN_VALUE;
    private boolean mDemandScheduled;
    private UsageMessages mUsage = UsageMessages.NONE;
    private SpeedMessages mSpeeds = SpeedMessages.NONE;

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
            DemandReporter demandReporter,
            WaitingCallQueue waitingCalls,
            PeerLinks links,
            IntSupplier hosts,
            DecisionLoop loop) {
        mHost = host;
        mLease = lease;
        mDirectory = directory;
        mController = controller;
        mDemandReporter = demandReporter;
        mWaitingCalls = waitingCalls;
        mLinks = links;
        mLoop = loop;
        mChangesTask = digestTask(hosts, this::sendChanges, loop);
    }

    static CoalescingTask digestTask(IntSupplier hosts, Runnable send, DecisionLoop loop) {
        return new CoalescingTask(
                BATCH_DELAY, BATCH_DELAY_PER_HOST, MAX_BATCH_DELAY, hosts, send, loop);
    }

    /** Sets what the messages carry about usage; called before the start. */
    public void setUsage(UsageMessages usage) {
        mUsage = usage;
    }

    /** Sets what the messages carry about the speed of servers; called before the start. */
    void setSpeeds(SpeedMessages speeds) {
        mSpeeds = speeds;
    }

    /** Starts to exchange messages. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.DEMAND_REPORT, this::handleDemand);
        mLinks.handle(Envelope.BodyCase.FLEET_DIGEST, this::handleDigest);
        mWaitingCalls.onModelMissing(target -> scheduleDemand());
        mWaitingCalls.setLeaseHolderReachable(this::isLeaseHolderReachable);
        mDirectory.onChange(this::scheduleChanges);
        mController.onForecast(this::publishForecast);
        long demand = DEMAND_INTERVAL.toNanos();
        mLoop.scheduler()
                .schedulePeriodically(this::sendDemand, demand, demand, TimeUnit.NANOSECONDS);
        long digest = DIGEST_INTERVAL.toNanos();
        mLoop.scheduler()
                .schedulePeriodically(this::sendFullDigest, digest, digest, TimeUnit.NANOSECONDS);
    }

    /** Returns whether a lease holder can be reached; it sends a digest each second. */
    public boolean isLeaseHolderReachable() {
        if (mLease.held()) {
            return mLease.mayOrder();
        }
        return mDigestReceivedAt != Long.MIN_VALUE
                && mLoop.clock().nowNanos() - mDigestReceivedAt < MAX_DIGEST_AGE.toNanos();
    }

    private void scheduleDemand() {
        if (!mDemandScheduled) {
            mDemandScheduled = true;
            runAfterBatchDelay(this::sendDemand);
        }
    }

    private void sendDemand() {
        mDemandScheduled = false;
        Optional<DemandReport> demand = mDemandReporter.takeReport();
        Optional<String> holder = mLease.held() ? Optional.of(mHost) : holder();
        if (holder.isEmpty()) {
            return;
        }
        Optional<DemandReport> report = mUsage.addCounts(demand, holder.get());
        if (report.isEmpty()) {
            return;
        }
        if (mLease.held()) {
            recordDemand(mHost, report.get());
        } else {
            mLinks.send(holder.get(), Envelope.newBuilder().setDemandReport(report.get()));
        }
    }

    private Optional<String> holder() {
        return mHolder.isEmpty() ? mLease.holder() : Optional.of(mHolder);
    }

    private Mono<Envelope.Builder> handleDemand(Envelope message) {
        if (mLease.held()) {
            DemandReport report = message.getDemandReport();
            if (report.hasUsage()) {
                mUsage.handleCounts(
                        message.getSender(), message.getSenderIncarnation(), report.getUsage());
            }
            recordDemand(message.getSender(), report);
        }
        return Mono.empty();
    }

    private void recordDemand(String host, DemandReport report) {
        DemandReport demand = mSpeeds.takeGaps(report);
        if (demand.getModelsCount() + demand.getRunningCount() > 0) {
            mController.recordDemand(host, demand);
        }
    }

    private void publishForecast(
            CallTarget target, Optional<Duration> expected, Map<String, Long> reportTimes) {
        applyForecast(target, expected);
        long now = mLoop.clock().nowNanos();
        reportTimes.forEach(
                (host, reportedAt) -> {
                    if (!host.equals(mHost)) {
                        mForecasts.add(host, reportedAt, target, expected, now);
                    }
                });
        scheduleChanges();
    }

    private void applyForecast(CallTarget target, Optional<Duration> expected) {
        expected.ifPresentOrElse(
                expectedWait -> mWaitingCalls.applyForecast(target, expectedWait),
                () -> mWaitingCalls.refuseUnplanned(target, UNPLANNED_RETRY_AFTER));
    }

    private void scheduleChanges() {
        if (mLease.held()) {
            mChangesTask.schedule();
        }
    }

    private void sendChanges() {
        if (!mLease.held()) {
            return;
        }
        FleetDigest.Builder digest = FleetDigest.newBuilder().setTerm(mLease.term());
        for (FleetMember member : mDirectory.members()) {
            ServerState state = toServerState(member);
            ServerState sent = mLastSentStates.get(member.instance());
            if (isReported(state, sent) && (sent == null || !hasSameModels(sent, state))) {
                mLastSentStates.put(member.instance(), state);
                digest.addServers(state);
            }
        }
        if (digest.getServersCount() > 0) {
            broadcast(digest);
        }
        mForecasts.takeUnsent().forEach(this::sendForecasts);
    }

    private void sendForecasts(String host, List<LoadForecast> forecasts) {
        mLinks.send(
                host,
                Envelope.newBuilder()
                        .setFleetDigest(
                                FleetDigest.newBuilder()
                                        .setTerm(mLease.term())
                                        .addAllForecasts(forecasts)));
    }

    private void sendFullDigest() {
        if (!mLease.held()) {
            mLastSentStates.clear();
            mForecasts.clear();
            mSpeeds.clear();
            return;
        }
        mSpeeds.update();
        mForecasts.removeSentBefore(mLoop.clock().nowNanos() - FORECAST_RETENTION.toNanos());
        Set<String> instances =
                mDirectory.members().stream()
                        .map(FleetMember::instance)
                        .collect(Collectors.toSet());
        mLastSentStates.keySet().retainAll(instances);
        FleetDigest.Builder digest = FleetDigest.newBuilder().setTerm(mLease.term());
        for (FleetMember member : mDirectory.members()) {
            ServerState state = toServerState(member);
            if (isReported(state, mLastSentStates.get(member.instance()))) {
                mLastSentStates.put(member.instance(), state);
                digest.addServers(state);
            } else if (state.getSpeedPercent() != 0) {
                digest.addServers(speedState(state));
            }
        }
        mUsage.addStatus(digest);
        broadcast(digest);
    }

    /** Calls of servers without models are not polled, so only their speed is known. */
    private static ServerState speedState(ServerState state) {
        return ServerState.newBuilder()
                .setServer(state.getServer())
                .setBornMillis(state.getBornMillis())
                .setSpeedPercent(state.getSpeedPercent())
                .setSpeedOnly(true)
                .build();
    }

    private static boolean isReported(ServerState state, @Nullable ServerState sent) {
        return state.getModelsCount() > 0 || sent != null;
    }

    private static boolean hasSameModels(ServerState one, ServerState other) {
        return one.getBornMillis() == other.getBornMillis()
                && one.getModelsList().equals(other.getModelsList());
    }

    private void broadcast(FleetDigest.Builder digest) {
        mLinks.broadcast(Envelope.newBuilder().setFleetDigest(digest));
    }

    private ServerState toServerState(FleetMember member) {
        ServerState.Builder state =
                ServerState.newBuilder()
                        .setServer(member.instance())
                        .setBornMillis(member.registered().startedAtMillis())
                        .setOrderCount(member.modelState().orderCount())
                        .setRunning(member.activeCalls())
                        .setSpeedPercent(mSpeeds.percent(member));
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

    private Mono<Envelope.Builder> handleDigest(Envelope message) {
        FleetDigest digest = message.getFleetDigest();
        if (digest.getTerm() < mHolderTerm || mLease.held()) {
            return Mono.empty();
        }
        mHolderTerm = digest.getTerm();
        mHolder = message.getSender();
        mDigestReceivedAt = mLoop.clock().nowNanos();
        if (digest.hasUsage()) {
            mUsage.handleStatus(digest.getUsage());
        }
        mDirectory.applyReports(
                digest.getServersList().stream()
                        .filter(state -> !state.getSpeedOnly())
                        .map(this::toServerReport)
                        .flatMap(Optional::stream)
                        .toList());
        mSpeeds.handleStates(digest.getServersList());
        for (LoadForecast forecast : digest.getForecastsList()) {
            applyForecast(toCallTarget(forecast), expectedWait(forecast));
        }
        return Mono.empty();
    }

    private Optional<ServerReport> toServerReport(ServerState state) {
        return mDirectory
                .member(state.getServer())
                .map(member -> toServerReport(state, member.modelState()));
    }

    /** Keeps the known models in memory and on disk, as a digest does not contain them. */
    private static ServerReport toServerReport(ServerState state, ServerModelState known) {
        Map<String, Set<String>> loaded = new HashMap<>();
        state.getModelsList()
                .forEach(
                        model -> loaded.put(model.getModel(), Set.copyOf(model.getAdaptersList())));
        ServerModelState modelState =
                new ServerModelState(
                        state.getOrderCount(), false, loaded, known.inMemory(), known.onDisk());
        return new ServerReport(
                state.getServer(),
                state.getBornMillis(),
                new ServerLoadReport(modelState, state.getRunning(), state.getQueued()));
    }

    private static CallTarget toCallTarget(LoadForecast forecast) {
        Optional<String> adapter =
                forecast.getAdapter().isEmpty()
                        ? Optional.empty()
                        : Optional.of(forecast.getAdapter());
        return new CallTarget(
                forecast.getPool(), Optional.of(new ModelName(forecast.getModel(), adapter)));
    }

    private static Optional<Duration> expectedWait(LoadForecast forecast) {
        return forecast.getUnplanned()
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(forecast.getExpectedMillis()));
    }

    private void runAfterBatchDelay(Runnable task) {
        mLoop.scheduler().schedule(task, BATCH_DELAY.toNanos(), TimeUnit.NANOSECONDS);
    }
}
