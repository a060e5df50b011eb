package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.queue.CallProfile;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallKind;
import org.vanillaslip.internal.serving.CallerLimits;
import org.vanillaslip.internal.serving.ServedRoute;
import org.vanillaslip.internal.serving.ServingPlan;
import reactor.core.Disposable;
import reactor.test.scheduler.VirtualTimeScheduler;

/** One host with more callers than its engines can serve, in virtual time. */
final class OverloadSimulation {

    /** How waiting calls are ordered. */
    enum Order {
        FIRST_COME,
        BY_TARGET,
        RANKED
    }

    static final int SLOTS = 16;

    /** Prompt processing, and the gap between two events. */
    static final long FIRST_EVENT_NANOS = Duration.ofMillis(100).toNanos();

    static final long GAP_NANOS = Duration.ofMillis(40).toNanos();

    private static final Duration MIN_RUN_TIME = Duration.ofMillis(200);
    private static final int MAX_ATTEMPTS = 4;

    final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    final OverloadServers mServers = new OverloadServers(SLOTS);
    final FleetDirectory mDirectory =
            new FleetDirectory(
                    mServers,
                    new DrainFollower(mServers, mLoop, (event, fields) -> {}),
                    mLoop,
                    new StoreAnswerHistory(),
                    (event, fields) -> {});
    final WaitingCallQueue mQueue;
    final List<OverloadCall> mCalls = new ArrayList<>();
    final Map<String, Integer> mRefusals = new TreeMap<>();
    int mRetries;
    private final Order mOrder;
    private final Map<String, Engine> mEngines = new HashMap<>();

    /**
     * Creates a host without servers.
     *
     * @param kinds kinds that the configuration names
     */
    OverloadSimulation(Order order, int maxWaiting, List<OverloadKind> kinds) {
        mOrder = order;
        ServingPlan plan = plan(kinds);
        mQueue =
                new WaitingCallQueue(
                        new ServerSelector(
                                mDirectory,
                                () -> order == Order.RANKED ? Optional.of(plan) : Optional.empty(),
                                new FailureDomain("d"),
                                () -> 1,
                                PermitSource.NONE,
                                mLoop,
                                new Random(1)),
                        mLoop,
                        maxWaiting);
    }

    private static ServingPlan plan(List<OverloadKind> kinds) {
        List<ServedRoute> routes =
                kinds.stream()
                        .map(
                                kind ->
                                        new ServedRoute(
                                                kind.mName,
                                                "",
                                                "/" + kind.mName,
                                                CallKind.STREAM,
                                                Duration.ofNanos(kind.mLeaveNanos),
                                                Duration.ofNanos(kind.mObjectiveNanos),
                                                Duration.ofMillis(60),
                                                Duration.ofNanos(kind.mLeaveNanos),
                                                kind.mPriority,
                                                List.of(),
                                                1,
                                                false,
                                                true))
                        .toList();
        return new ServingPlan(1, routes, Map.of(), List.of(), Map.of(), CallerLimits.DEFAULT);
    }

    /** Adds a server with the models; before {@link #list}. */
    void addServer(String name, Set<String> models) {
        mServers.put(name, models);
        mEngines.put(name, new Engine());
    }

    /** Lists all servers. */
    void list() {
        mDirectory.listed(
                new ObjectList(
                        1,
                        mEngines.keySet().stream()
                                .sorted()
                                .map(
                                        name ->
                                                new StoredObject(
                                                        "servers",
                                                        name,
                                                        1,
                                                        JsonNodeFactory.instance.objectNode()))
                                .toList()));
    }

    /** Lets a load finish on a server. */
    void load(String server, Set<String> models) {
        mServers.put(server, models);
        mDirectory.member(server).orElseThrow().setModelState(mServers.state(server));
        mQueue.dispatch();
    }

    /** Lets a caller arrive after the delay. */
    void arrive(Duration delay, OverloadKind kind, String workspace, String model, int events) {
        mScheduler.schedule(
                () -> {
                    OverloadCall call =
                            new OverloadCall(mCalls.size(), kind, workspace, model, events, now());
                    mCalls.add(call);
                    attempt(call);
                },
                delay.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    long now() {
        return mLoop.clock().nowNanos();
    }

    private void attempt(OverloadCall call) {
        if (call.mRefusals > 0) {
            mRetries++;
        }
        long deadline = call.mArrivedNanos + call.mKind.mLeaveNanos - MIN_RUN_TIME.toNanos();
        ServerRequest request =
                new ServerRequest(
                        call.mNumber + "-" + call.mRefusals,
                        new CallTarget(
                                "pool", Optional.of(new ModelName(call.mModel, Optional.empty()))),
                        List.of(),
                        List.of(),
                        Optional.empty(),
                        Set.of());
        WaitBounds bounds =
                new WaitBounds(
                        mOrder == Order.FIRST_COME ? 0 : call.mKind.mPriority,
                        call.mArrivedNanos + call.mKind.mObjectiveNanos,
                        deadline,
                        false,
                        new CallProfile(
                                call.mKind.mName,
                                call.mWorkspace,
                                call.mEvents,
                                "f" + call.mNumber));
        Disposable waiting =
                mQueue.awaitSlot(request, bounds)
                        .subscribe(slot -> run(call, slot), error -> refused(call, error));
        if (!waiting.isDisposed()) {
            mScheduler.schedule(
                    waiting::dispose,
                    call.mArrivedNanos + call.mKind.mLeaveNanos - now(),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** A refused caller comes back after the stated time, or a third of the time it has left. */
    private void refused(OverloadCall call, Throwable error) {
        long timeLeft = call.mArrivedNanos + call.mKind.mLeaveNanos - now();
        call.mHeldNanos = now() - call.mArrivedNanos;
        Refusal refusal = ((RefusedException) error).refusal();
        Duration retryAfter = refusal.retryAfter().orElseThrow();
        mRefusals.merge(reason(refusal), 1, Integer::sum);
        if (++call.mRefusals >= MAX_ATTEMPTS || timeLeft < Duration.ofMillis(300).toNanos()) {
            call.mLost = true;
            return;
        }
        mScheduler.schedule(
                () -> attempt(call),
                Math.min(retryAfter.toNanos(), timeLeft / 3),
                TimeUnit.NANOSECONDS);
    }

    private static String reason(Refusal refusal) {
        return switch (refusal.code()) {
            case QUEUE_FULL -> "queue full";
            case DEADLINE_UNREACHABLE ->
                    refusal.detail().equals("all servers are busy")
                            ? "out of reach"
                            : "at the deadline";
            default -> refusal.code().toString();
        };
    }

    private void run(OverloadCall call, RequestSlot slot) {
        mEngines.get(slot.server().instance()).add(new Run(call, slot, now()));
    }

    private record Run(OverloadCall call, RequestSlot slot, long sentNanos) {}

    /** Runs as many calls as it has slots; others wait by priority. */
    private final class Engine {
        private final TreeSet<Run> mWaiting =
                new TreeSet<>(
                        Comparator.<Run>comparingInt(
                                        run ->
                                                mOrder == Order.FIRST_COME
                                                        ? 0
                                                        : run.call().mKind.mPriority)
                                .thenComparingLong(Run::sentNanos)
                                .thenComparingInt(run -> run.call().mNumber));
        private int mRunning;

        void add(Run run) {
            mWaiting.add(run);
            startNext();
        }

        private void startNext() {
            while (mRunning < SLOTS && !mWaiting.isEmpty()) {
                Run run = mWaiting.pollFirst();
                OverloadCall call = run.call();
                long firstEvent = now() + FIRST_EVENT_NANOS;
                if (firstEvent > call.mArrivedNanos + call.mKind.mLeaveNanos) {
                    call.mLeft = true;
                    run.slot().release();
                    continue;
                }
                mRunning++;
                call.mFirstEventNanos = firstEvent;
                mScheduler.schedule(
                        () -> {
                            mRunning--;
                            run.slot().release();
                            startNext();
                        },
                        FIRST_EVENT_NANOS + call.mEvents * GAP_NANOS,
                        TimeUnit.NANOSECONDS);
            }
        }
    }
}
