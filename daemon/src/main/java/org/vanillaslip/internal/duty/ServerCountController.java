package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.LeaseTerms;
import org.vanillaslip.internal.fleet.PlanView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.scaling.CountOrder;
import org.vanillaslip.internal.scaling.PoolObservation;
import org.vanillaslip.internal.scaling.ServerCountChange;
import org.vanillaslip.internal.scaling.ServerCountPlanner;
import org.vanillaslip.internal.serving.ServerScaling;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.messages.DemandReport;

/**
 * Orders the number of servers of each scaled pool while this host holds the lease; used on the
 * decision loop only. A number is recorded in the store before it is sent.
 */
public final class ServerCountController {

    /** Interval of planning; demand is reported about as often, each 300 ms. */
    private static final Duration TICK = Duration.ofMillis(250);

    /** Interval of checks for a number to send; below the 80 ms between calls at 50 a second. */
    private static final Duration SEND_INTERVAL = Duration.ofMillis(50);

    /** Pause after a failed call to the store; short against the boot of a server, some seconds. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(700);

    private static final long NO_TERM = -1;

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final PlanView mPlans;
    private final PoolObserver mObserver;
    private final ServerCountRecord mRecord;
    private final ServerCountSender mSender;
    private final Consumer<List<ServerCountGauge>> mGauges;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<String, ServerCountPlanner> mPlanners = new HashMap<>();
    private Map<ScaledGroup, RecordedCount> mRecorded = Map.of();
    private long mTerm = NO_TERM;
    private boolean mRecordRead;
    private boolean mStoreCallInFlight;
    private long mStoreCallAllowedAt;

    /** Creates a controller that is not started and has ordered nothing. */
    ServerCountController(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            PlanView plans,
            PoolObserver observer,
            ServerCountRecord record,
            ServerCountSender sender,
            Consumer<List<ServerCountGauge>> gauges,
            DecisionLoop loop,
            EventLog log) {
        mHost = host;
        mLease = lease;
        mDirectory = directory;
        mPlans = plans;
        mObserver = observer;
        mRecord = record;
        mSender = sender;
        mGauges = gauges;
        mLoop = loop;
        mLog = log;
        mStoreCallAllowedAt = loop.clock().nowNanos();
    }

    /** Starts planning. */
    public void start() {
        long period = TICK.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
        long sending = SEND_INTERVAL.toNanos();
        mLoop.scheduler()
                .schedulePeriodically(this::sendNext, sending, sending, TimeUnit.NANOSECONDS);
    }

    /** Records the demand of a host, while this host holds the lease. */
    public void recordDemand(String host, DemandReport report) {
        mObserver.recordDemand(host, report);
    }

    private void tick() {
        if (!mLease.held()) {
            endTerm();
            return;
        }
        List<ServicePool> pools = scaledPools();
        long term = mLease.term();
        if (pools.isEmpty() || !mDirectory.listed() || !mLease.mayOrder(term)) {
            return;
        }
        if (term != mTerm) {
            beginTerm(term);
        }
        if (!mRecordRead) {
            readRecord();
            return;
        }
        plan(pools);
        writeRecord();
    }

    private void sendNext() {
        if (mTerm != NO_TERM && mRecordRead) {
            mSender.sendNext(right(mTerm), this::maySend);
        }
    }

    private List<ServicePool> scaledPools() {
        return mPlans.current()
                .map(
                        plan ->
                                plan.pools().values().stream()
                                        .filter(pool -> pool.scaling().isPresent())
                                        .toList())
                .orElse(List.of());
    }

    private void endTerm() {
        if (mTerm != NO_TERM) {
            mTerm = NO_TERM;
            mSender.clear();
            mObserver.clear();
            mGauges.accept(List.of());
        }
    }

    private void beginTerm(long term) {
        mTerm = term;
        mRecordRead = false;
        mSender.clear();
        mPlanners.values().forEach(ServerCountPlanner::restart);
    }

    private DutyRight right(long term) {
        return new DutyRight(mHost, term, () -> mLease.mayOrder(term));
    }

    /**
     * A larger number is also sent if all servers of the failure domain are missing, because none
     * comes back if the platform did not take it.
     */
    private boolean maySend(ScaledGroup group, CountOrder order) {
        RecordedCount recorded = mRecorded.get(group);
        return recorded != null
                && recorded.servers() == order.servers()
                && (mObserver.isFollowed(group) || order.raises() && mObserver.hearsHosts(group));
    }

    private void readRecord() {
        long now = now();
        if (mStoreCallInFlight || now - mStoreCallAllowedAt < 0) {
            return;
        }
        long term = mTerm;
        mStoreCallInFlight = true;
        mRecord.read()
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> handleRead(term, result),
                        error -> handleStoreFailure("read", error.toString()));
    }

    private void handleRead(
            long term, Either<PlatformFailure, Map<ScaledGroup, RecordedCount>> result) {
        mStoreCallInFlight = false;
        if (result.isLeft()) {
            handleStoreFailure("read", result.getLeft().name());
        } else if (result.get().values().stream().anyMatch(count -> count.term() > term)) {
            handleStoreFailure("read", "a later holder has recorded numbers");
        } else if (term == mTerm) {
            takeOver(result.get());
            mRecordRead = true;
        }
    }

    /**
     * Continues from the newer one of the recorded and the remembered numbers: a store that was
     * restored may have lost those that this host has recorded itself.
     */
    private void takeOver(Map<ScaledGroup, RecordedCount> stored) {
        Map<ScaledGroup, RecordedCount> remembered = mRecorded;
        Map<ScaledGroup, RecordedCount> counts = new HashMap<>(stored);
        remembered.forEach(
                (group, count) ->
                        counts.merge(
                                group,
                                count,
                                (one, other) -> one.term() >= other.term() ? one : other));
        mRecorded = new HashMap<>(stored);
        counts.forEach(this::restore);
        mLog.log(
                ServerCountEvent.COUNTS_TAKEN_OVER,
                field("term", mTerm),
                field("counts", ServerCountText.of(counts)));
    }

    private void restore(ScaledGroup group, RecordedCount recorded) {
        int ready = mObserver.ready(group);
        boolean outdated = LeaseTerms.isOfEarlierEra(recorded.term(), mTerm);
        // Later numbers may be lost with the store's last changes, and fewer servers than are
        // listed must not be ordered by mistake.
        int servers = outdated ? Math.max(recorded.servers(), ready) : recorded.servers();
        planner(group.pool()).restore(group.failureDomain(), servers);
        mSender.restore(group, servers, ready != servers);
    }

    private void plan(List<ServicePool> pools) {
        long now = now();
        mObserver.refresh();
        List<ServerCountGauge> gauges = new ArrayList<>();
        for (ServicePool pool : pools) {
            ServerScaling scaling = pool.scaling().orElseThrow();
            ServerCountPlanner planner = planner(pool.name());
            PoolObservation observation = mObserver.observe(pool, planner);
            for (ServerCountChange change : planner.plan(scaling, observation, now)) {
                log(pool, observation, planner, change);
                mSender.order(
                        new ScaledGroup(pool.name(), change.failureDomain()),
                        change.before(),
                        change.after());
            }
            observation
                    .domains()
                    .forEach(
                            domain -> {
                                ScaledGroup group =
                                        new ScaledGroup(pool.name(), domain.failureDomain());
                                mSender.compareWithList(group, domain.ready(), scaling.bootTime());
                                gauges.add(
                                        new ServerCountGauge(
                                                group.pool(),
                                                group.failureDomain(),
                                                planner.servers(group.failureDomain()),
                                                domain.ready()));
                            });
        }
        mGauges.accept(gauges);
    }

    private void log(
            ServicePool pool,
            PoolObservation observation,
            ServerCountPlanner planner,
            ServerCountChange change) {
        mLog.log(
                ServerCountEvent.COUNT_CHANGED,
                field("pool", pool.name()),
                field("failure_domain", change.failureDomain()),
                field("before", change.before()),
                field("servers", change.after()),
                field("reason", change.reason()),
                field("running", observation.running()),
                field("waiting", observation.waiting()),
                field("expected_calls", ServerCountText.of(planner.need().expectedCalls())),
                field("slots", observation.slotsPerServer()),
                field("models", observation.recentModels()),
                field("need_calls", ServerCountText.of(planner.need().forCalls())),
                field("need_models", ServerCountText.of(planner.need().forModels())),
                field("need_configured", ServerCountText.of(planner.need().forConfiguredModels())),
                field("short_notice", planner.need().replacements()),
                field("domains", ServerCountText.of(observation.domains(), planner)));
    }

    private void writeRecord() {
        Map<ScaledGroup, RecordedCount> wanted = new HashMap<>(mRecorded);
        mPlanners.forEach(
                (pool, planner) ->
                        planner.decided()
                                .forEach(
                                        (domain, servers) ->
                                                putIfChanged(
                                                        wanted,
                                                        new ScaledGroup(pool, domain),
                                                        servers)));
        if (wanted.equals(mRecorded)
                || mStoreCallInFlight
                || now() - mStoreCallAllowedAt < 0
                || !mLease.mayOrder(mTerm)) {
            return;
        }
        mStoreCallInFlight = true;
        mRecord.write(wanted)
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> handleWritten(wanted, result),
                        error -> handleUnknownWrite(error.toString()));
    }

    private void putIfChanged(
            Map<ScaledGroup, RecordedCount> counts, ScaledGroup group, int servers) {
        RecordedCount recorded = counts.get(group);
        if (recorded == null || recorded.servers() != servers) {
            counts.put(group, new RecordedCount(servers, mTerm));
        }
    }

    private void handleWritten(
            Map<ScaledGroup, RecordedCount> written, Either<PlatformFailure, StoredObject> result) {
        mStoreCallInFlight = false;
        if (result.isRight()) {
            mRecorded = written;
            sendNext();
            return;
        }
        PlatformFailure failure = result.getLeft();
        if (failure == PlatformFailure.THROTTLED || failure == PlatformFailure.UNAVAILABLE) {
            handleStoreFailure("write", failure.name());
        } else {
            handleUnknownWrite(failure.name());
        }
    }

    /** Continues from what is stored; what is still needed is decided again. */
    private void handleUnknownWrite(String cause) {
        handleStoreFailure("write", cause);
        mRecordRead = false;
    }

    private void handleStoreFailure(String call, String cause) {
        mStoreCallInFlight = false;
        mStoreCallAllowedAt = now() + STORE_RETRY_DELAY.toNanos();
        mLog.log(ServerCountEvent.COUNT_RECORD_FAILED, field("call", call), field("cause", cause));
    }

    private ServerCountPlanner planner(String pool) {
        return mPlanners.computeIfAbsent(pool, name -> new ServerCountPlanner());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
