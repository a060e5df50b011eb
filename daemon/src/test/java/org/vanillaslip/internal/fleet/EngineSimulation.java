package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulated model engines in virtual time that lose answers, execute orders late, and restart. An
 * adapter occupies a slot from the order to load it until the last call that uses it has ended.
 */
final class EngineSimulation implements EngineControl {

    static final int MODEL_SLOTS = 3;
    static final int ADAPTER_SLOTS = 2;
    static final Duration LOAD_TIME = Duration.ofMillis(1200);
    private static final long AGE_AT_START_MILLIS = 3_600_000;
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(10);
    private static final Duration REPORT_LAG = Duration.ofMillis(200);
    private static final Duration NETWORK_DELAY = Duration.ofMillis(3);

    final VirtualTimeScheduler mScheduler;
    final DecisionLoop mLoop;
    final List<String> mViolations = new ArrayList<>();
    final Map<String, Engine> mEngines = new HashMap<>();
    private final Random mRandom;
    boolean mSendsEmptyReports;
    double mLostAnswerProbability;
    double mLateOrderProbability;
    int mMaxLateMillis = 4000;
    Duration mUnloadTime = Duration.ZERO;
    ToLongFunction<EngineOrder> mConnectMillis = order -> 0;
    ToLongFunction<EngineOrder> mDelayMillis = order -> 0;
    final List<AcceptedOrder> mAccepted = new ArrayList<>();
    final Map<OrderKind, Long> mLastAccepted = new HashMap<>();

    EngineSimulation(long seed, VirtualTimeScheduler scheduler) {
        mRandom = new Random(seed);
        mScheduler = scheduler;
        mLoop = new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
    }

    /** An order that an engine has executed. */
    record AcceptedOrder(
            long atMillis, String server, long startedAtMillis, String holder, long term) {}

    /** Simulated engine that reports a violation when a load exceeds its slots. */
    final class Engine {
        final String mName;
        long mStartedAtMillis = -AGE_AT_START_MILLIS;
        long mOrderCount;
        String mLoading = "";
        Set<String> mLoaded = new HashSet<>();
        final Map<String, Set<String>> mAdapters = new HashMap<>();
        final Set<String> mPendingAdapters = new HashSet<>();
        final Set<String> mAdaptersInUse = new HashSet<>();
        private final Deque<Snapshot> mHistory = new ArrayDeque<>();

        Engine(String name, Set<String> loaded) {
            mName = name;
            mLoaded.addAll(loaded);
        }

        RegisteredServer registered() {
            return new RegisteredServer(
                    mName,
                    mStartedAtMillis,
                    "pool",
                    "10.0.0.1:1",
                    new FailureDomain("d"),
                    48,
                    false,
                    OptionalLong.empty(),
                    0,
                    modelState());
        }

        ServerModelState modelState() {
            Map<String, Set<String>> loaded = new HashMap<>();
            mLoaded.forEach(model -> loaded.put(model, mAdapters.getOrDefault(model, Set.of())));
            Set<String> disk = new HashSet<>();
            for (int model = 0; model < 12; model++) {
                disk.add("m" + model);
            }
            return new ServerModelState(mOrderCount, !mLoading.isEmpty(), loaded, Set.of(), disk);
        }

        void restart() {
            mStartedAtMillis = Math.max(mStartedAtMillis + 1, wallClockTime().toEpochMilli());
            mOrderCount = 0;
            mLoading = "";
            mLoaded.clear();
            mAdapters.clear();
            mPendingAdapters.clear();
            mAdaptersInUse.clear();
            mHistory.clear();
            recordSnapshot();
        }

        OrderAnswer execute(EngineOrder order) {
            recordSnapshot();
            long countBefore = mOrderCount;
            OrderAnswer answer = handleOrder(order);
            if (mOrderCount > countBefore) {
                mAccepted.add(
                        new AcceptedOrder(
                                now(), mName, mStartedAtMillis, order.holder(), order.term()));
            }
            recordSnapshot();
            return answer;
        }

        private OrderAnswer handleOrder(EngineOrder order) {
            if (!mLoading.isEmpty() || order.expectedOrders() != mOrderCount) {
                return OrderAnswer.REFUSED;
            }
            if (order.adapter().isPresent()) {
                return handleAdapterOrder(order, order.adapter().get());
            }
            mLastAccepted.put(order.kind(), mScheduler.now(TimeUnit.MILLISECONDS));
            if (order.kind() == OrderKind.UNLOAD) {
                mOrderCount++;
                occupyDuringUnload();
                mLoaded.remove(order.model());
                mAdapters.remove(order.model());
                return OrderAnswer.ACCEPTED;
            }
            if (mLoaded.contains(order.model())) {
                return OrderAnswer.ALREADY;
            }
            if (mLoaded.size() >= MODEL_SLOTS) {
                mViolations.add(
                        mName + " has no free model slot for " + order.model() + " " + mLoaded);
            }
            mOrderCount++;
            mLoading = order.model();
            long startedAtMillis = mStartedAtMillis;
            mScheduler.schedule(
                    () -> {
                        if (mStartedAtMillis == startedAtMillis) {
                            mLoaded.add(mLoading);
                            mLoading = "";
                            recordSnapshot();
                        }
                    },
                    LOAD_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
            return OrderAnswer.ACCEPTED;
        }

        private void occupyDuringUnload() {
            if (mUnloadTime.isZero()) {
                return;
            }
            mLoading = "nothing";
            long startedAtMillis = mStartedAtMillis;
            mScheduler.schedule(
                    () -> {
                        if (mStartedAtMillis == startedAtMillis) {
                            mLoading = "";
                            recordSnapshot();
                        }
                    },
                    mUnloadTime.toMillis(),
                    TimeUnit.MILLISECONDS);
        }

        private OrderAnswer handleAdapterOrder(EngineOrder order, String adapter) {
            Set<String> adapters =
                    mAdapters.computeIfAbsent(order.model(), name -> new HashSet<>());
            if (adapters.contains(adapter) == (order.kind() == OrderKind.LOAD)) {
                return OrderAnswer.ALREADY;
            }
            mOrderCount++;
            if (order.kind() == OrderKind.UNLOAD) {
                if (mAdaptersInUse.contains(adapter)) {
                    return OrderAnswer.ACCEPTED;
                }
                adapters.remove(adapter);
                return OrderAnswer.ALREADY;
            }
            int usedSlots = mPendingAdapters.size();
            usedSlots += mAdapters.values().stream().mapToInt(Set::size).sum();
            if (usedSlots >= ADAPTER_SLOTS) {
                mViolations.add(
                        mName + " has no free adapter slot for " + adapter + " " + mAdapters);
            }
            mPendingAdapters.add(adapter);
            long startedAtMillis = mStartedAtMillis;
            mScheduler.schedule(
                    () -> {
                        if (mStartedAtMillis == startedAtMillis) {
                            mPendingAdapters.remove(adapter);
                            adapters.add(adapter);
                            recordSnapshot();
                        }
                    },
                    ADAPTER_LOAD_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
            return OrderAnswer.ACCEPTED;
        }

        /** Ends the calls on an adapter, which is then unloaded. */
        void endCalls(String model, String adapter) {
            mAdaptersInUse.remove(adapter);
            mAdapters.get(model).remove(adapter);
            recordSnapshot();
        }

        /** Records the current state for later reports. */
        private void recordSnapshot() {
            mHistory.addLast(new Snapshot(mScheduler.now(TimeUnit.MILLISECONDS), modelState()));
        }

        /** Returns the state as of {@link #REPORT_LAG} ago. */
        ServerLoadReport report() {
            long reportedAtMillis = mScheduler.now(TimeUnit.MILLISECONDS) - REPORT_LAG.toMillis();
            if (mHistory.isEmpty() || !mHistory.getLast().modelState().equals(modelState())) {
                recordSnapshot();
            }
            Snapshot shown =
                    mHistory.stream()
                            .filter(snapshot -> snapshot.atMillis() <= reportedAtMillis)
                            .reduce(mHistory.getFirst(), (before, next) -> next);
            mHistory.removeIf(snapshot -> snapshot.atMillis() < shown.atMillis());
            return new ServerLoadReport(shown.modelState(), 0, 0);
        }
    }

    private long now() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    Instant wallClockTime() {
        return Instant.ofEpochMilli(mScheduler.now(TimeUnit.MILLISECONDS));
    }

    private record Snapshot(long atMillis, ServerModelState modelState) {}

    Engine add(String name, Set<String> loaded) {
        Engine engine = new Engine(name, loaded);
        mEngines.put(name, engine);
        return engine;
    }

    @Override
    public Mono<OrderAnswer> sendOrder(
            RegisteredServer server, EngineOrder order, BooleanSupplier permitted) {
        long connectMillis = mConnectMillis.applyAsLong(order);
        return connectMillis == 0
                ? write(server, order)
                : Mono.delay(Duration.ofMillis(connectMillis), mScheduler)
                        .flatMap(
                                tick ->
                                        permitted.getAsBoolean()
                                                ? write(server, order)
                                                : Mono.just(OrderAnswer.NOT_PERMITTED));
    }

    private Mono<OrderAnswer> write(RegisteredServer server, EngineOrder order) {
        Engine engine = mEngines.get(server.instance());
        long delay = mDelayMillis.applyAsLong(order);
        if (mRandom.nextDouble() < mLateOrderProbability) {
            delay = 500 + mRandom.nextInt(mMaxLateMillis);
        }
        if (delay > 0) {
            mScheduler.schedule(() -> engine.execute(order), delay, TimeUnit.MILLISECONDS);
            return Mono.delay(Duration.ofMillis(500), mScheduler).map(tick -> OrderAnswer.UNKNOWN);
        }
        boolean lost = mRandom.nextDouble() < mLostAnswerProbability;
        return Mono.delay(NETWORK_DELAY, mScheduler)
                .map(
                        tick -> {
                            OrderAnswer answer = engine.execute(order);
                            return lost ? OrderAnswer.UNKNOWN : answer;
                        });
    }

    @Override
    public Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server) {
        Engine engine = mEngines.get(server.instance());
        return Mono.delay(NETWORK_DELAY, mScheduler)
                .filter(tick -> !mSendsEmptyReports)
                .map(tick -> Either.right(engine.report()));
    }
}
