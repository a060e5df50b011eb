package org.vanillaslip.internal.proofs.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.gateway.QuotaCharge;

/** Simulates the requests of a deployment under one quota policy. */
final class PolicyRun {

    static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Maximum quota wait that the gateway allows an interactive request with this deadline. */
    private static final Duration CHARGE_WAIT = DEADLINE.dividedBy(8);

    /** Buckets take 10 s to fill, after the first 4 s in which a new host refills nothing. */
    private static final long START_NANOS = Duration.ofSeconds(20).toNanos();

    /** Server capacity as a multiple of the combined rate of all plans. */
    private static final double SERVER_CAPACITY_FACTOR = 1.25;

    private final DeploymentScenario mScenario;
    private final long mEndNanos;
    private final VirtualScheduler mScheduler = new VirtualScheduler();
    private final SimulatedHosts mHosts;
    private final List<SimulatedServers> mServersByHost = new ArrayList<>();
    private final Map<String, WorkspaceStatistics> mStatistics = new LinkedHashMap<>();
    private long mMessages;

    PolicyRun(
            DeploymentScenario scenario,
            QuotaPolicy policy,
            boolean fair,
            long seed,
            Duration length) {
        mScenario = scenario;
        mEndNanos = START_NANOS + length.toNanos();
        mHosts = new SimulatedHosts(scenario, policy, mScheduler, seed);
        for (int i = 0; i < scenario.hosts(); i++) {
            double perHost = scenario.totalRate() * SERVER_CAPACITY_FACTOR / scenario.hosts();
            mServersByHost.add(new SimulatedServers(mScheduler, fair, perHost));
        }
        for (WorkspaceLoad load : scenario.loads()) {
            mStatistics.put(load.workspace(), new WorkspaceStatistics(load));
        }
        for (Arrival arrival : Arrival.generate(scenario, seed, START_NANOS, mEndNanos)) {
            mScheduler.scheduleAt(arrival.arrivalNanos(), () -> chargeRequest(arrival));
        }
    }

    PolicyRun run() {
        mScheduler.runUntil(START_NANOS - 1);
        long messagesBefore = mHosts.messages();
        mScheduler.runUntil(mEndNanos);
        mMessages = mHosts.messages() - messagesBefore;
        mScheduler.runUntil(mEndNanos + DEADLINE.toNanos());
        return this;
    }

    /** Returns the refusals of requests within the rate, for workspaces with matching load. */
    int wronglyRefused(Predicate<WorkspaceLoad> matching) {
        return statistics(matching).mapToInt(WorkspaceStatistics::wronglyRefused).sum();
    }

    double maxTokensOverBound() {
        return mStatistics.values().stream()
                .mapToDouble(WorkspaceStatistics::maxTokensOverBound)
                .max()
                .orElse(0);
    }

    int requests() {
        return mStatistics.values().stream().mapToInt(WorkspaceStatistics::requests).sum();
    }

    WorkspaceStatistics worstServed() {
        return worstServedOf(mStatistics.values());
    }

    String worstServedWorkspace() {
        WorkspaceStatistics worst = worstServed();
        return mStatistics.entrySet().stream()
                .filter(entry -> entry.getValue() == worst)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
    }

    /** Returns the longest p99 wait of the workspaces with matching load. */
    double longestWaitMillis(Predicate<WorkspaceLoad> matching) {
        return statistics(matching)
                .mapToDouble(workspaceStatistics -> workspaceStatistics.waitMillis(0.99))
                .max()
                .orElse(0);
    }

    private Stream<WorkspaceStatistics> statistics(Predicate<WorkspaceLoad> matching) {
        return mScenario.loads().stream()
                .filter(matching)
                .flatMap(load -> Stream.ofNullable(mStatistics.get(load.workspace())));
    }

    double messagesPerSecond() {
        return mMessages / ((mEndNanos - START_NANOS) / 1e9);
    }

    double messagesPerRequest() {
        return (double) mMessages / Math.max(1, requests());
    }

    private void chargeRequest(Arrival arrival) {
        WorkspaceStatistics workspaceStatistics = mStatistics.get(arrival.load().workspace());
        if (workspaceStatistics != null) {
            boolean withinRate = workspaceStatistics.recordArrival(arrival);
            mHosts.charge(arrival, CHARGE_WAIT)
                    .subscribe(
                            result -> onCharged(arrival, workspaceStatistics, withinRate, result));
        }
    }

    private void onCharged(
            Arrival arrival,
            WorkspaceStatistics workspaceStatistics,
            boolean withinRate,
            Either<Refusal, QuotaCharge> result) {
        if (result.isLeft()) {
            workspaceStatistics.recordRefusal(withinRate);
            return;
        }
        workspaceStatistics.recordCharge(arrival, mScheduler.nowNanos());
        mHosts.settle(arrival.host(), result.get());
        boolean queued =
                mServersByHost
                        .get(arrival.host())
                        .enqueue(
                                arrival, () -> onStarted(arrival, workspaceStatistics, withinRate));
        if (!queued) {
            workspaceStatistics.recordRefusal(withinRate);
        }
    }

    private void onStarted(
            Arrival arrival, WorkspaceStatistics workspaceStatistics, boolean withinRate) {
        long now = mScheduler.nowNanos();
        if (now - arrival.arrivalNanos() > DEADLINE.toNanos()) {
            workspaceStatistics.recordRefusal(withinRate);
        } else {
            workspaceStatistics.recordServed(arrival, now);
        }
    }

    private static WorkspaceStatistics worstServedOf(Collection<WorkspaceStatistics> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(WorkspaceStatistics::shareOfEntitlement))
                .orElseThrow();
    }
}
