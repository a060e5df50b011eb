package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;
import org.vanillaslip.messages.RunningCalls;

/** Collects the demand of this host's callers, to be reported to the lease holder. */
public final class DemandReporter {

    private final WaitingCallQueue mWaitingCalls;
    private final FleetDirectory mDirectory;
    private final DecisionLoop mLoop;
    private final Map<CallTarget, Arrivals> mArrivalsByTarget = new HashMap<>();
    private Predicate<CallTarget> mAllCallsReported = target -> false;
    private Optional<EventGapMeter> mEventGaps = Optional.empty();

    /** Creates a reporter without recorded calls. */
    public DemandReporter(
            WaitingCallQueue waitingCalls, FleetDirectory directory, DecisionLoop loop) {
        mWaitingCalls = waitingCalls;
        mDirectory = directory;
        mLoop = loop;
    }

    /**
     * Also reports waiting calls of these targets whose model is loaded, and the running calls of
     * those that need no model.
     */
    public void reportAllCallsOf(Predicate<CallTarget> targets) {
        mAllCallsReported = targets;
    }

    /** Also measures and reports the gaps between the events of streams. */
    void measureEventGaps() {
        mEventGaps = Optional.of(new EventGapMeter());
    }

    /** Returns a measurement of the stream that has reserved the slot. */
    public EventGaps newStream(RequestSlot slot) {
        return mEventGaps.map(meter -> meter.newStream(slot)).orElse(EventGaps.NONE);
    }

    /** Records the arrival of a call, if it needs a model. */
    public void recordCall(CallTarget target, Duration objective) {
        if (target.model().isPresent()) {
            Arrivals arrivals = mArrivalsByTarget.computeIfAbsent(target, name -> new Arrivals());
            arrivals.mCount++;
            if (objective.compareTo(arrivals.mObjective) < 0) {
                arrivals.mObjective = objective;
            }
        }
    }

    /**
     * Returns the arrivals and event gaps since the last report and the calls that wait or run now,
     * and resets the arrivals and gaps. Empty if there are none of them.
     */
    public Optional<DemandReport> takeReport() {
        DemandReport.Builder report = DemandReport.newBuilder();
        Map<CallTarget, ModelDemand.Builder> demands = new HashMap<>();
        mArrivalsByTarget.forEach(
                (target, arrivals) ->
                        demands.computeIfAbsent(target, DemandReporter::newModelDemand)
                                .setArrivals(arrivals.mCount)
                                .setObjectiveMillis((int) arrivals.mObjective.toMillis()));
        mArrivalsByTarget.clear();
        mWaitingCalls
                .callsMissingModel(mAllCallsReported)
                .forEach(
                        (target, calls) ->
                                addWaiting(
                                        demands.computeIfAbsent(
                                                target, DemandReporter::newModelDemand),
                                        calls));
        demands.values().forEach(report::addModels);
        report.addAllRunning(runningCalls());
        mEventGaps.ifPresent(meter -> meter.takeGaps(report));
        return report.getModelsCount() + report.getRunningCount() == 0
                ? Optional.empty()
                : Optional.of(report.build());
    }

    private static ModelDemand.Builder newModelDemand(CallTarget target) {
        ModelDemand.Builder demand = ModelDemand.newBuilder().setPool(target.pool());
        target.model()
                .ifPresent(
                        model -> {
                            demand.setModel(model.model());
                            model.adapter().ifPresent(demand::setAdapter);
                        });
        return demand;
    }

    private void addWaiting(ModelDemand.Builder demand, Collection<WaitingCall> calls) {
        long now = mLoop.clock().nowNanos();
        long objective =
                calls.stream().mapToLong(call -> call.objectiveNanos() - now).min().orElse(0);
        long deadline =
                calls.stream().mapToLong(call -> call.deadlineNanos() - now).max().orElse(0);
        int priority = calls.stream().mapToInt(WaitingCall::priority).min().orElse(0);
        demand.setWaiting(calls.size())
                .setObjectiveLeftMillis((int) (objective / 1_000_000))
                .setDeadlineLeftMillis((int) Math.max(0, deadline / 1_000_000))
                .setPriority(priority);
    }

    private List<RunningCalls> runningCalls() {
        List<RunningCalls> running = new ArrayList<>();
        for (FleetMember member : mDirectory.members()) {
            member.ownCallsByModel()
                    .forEach(
                            (model, count) ->
                                    running.add(
                                            RunningCalls.newBuilder()
                                                    .setServer(member.instance())
                                                    .setModel(model)
                                                    .setCount(count)
                                                    .build()));
            addCallsWithoutModel(running, member);
        }
        return running;
    }

    private void addCallsWithoutModel(List<RunningCalls> running, FleetMember member) {
        int calls =
                member.ownCalls()
                        - member.ownCallsByModel().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum();
        CallTarget target = new CallTarget(member.registered().pool(), Optional.empty());
        if (calls > 0 && mAllCallsReported.test(target)) {
            running.add(
                    RunningCalls.newBuilder().setServer(member.instance()).setCount(calls).build());
        }
    }

    /** Number of calls for one target since the last report, and their shortest objective. */
    private static final class Arrivals {
        private int mCount;
        private Duration mObjective = Duration.ofDays(1);
    }
}
