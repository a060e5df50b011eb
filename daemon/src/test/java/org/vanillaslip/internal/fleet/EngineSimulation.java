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
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Model engines in virtual time that lose answers, carry orders out late, and restart. An adapter
 * takes a place from the order to load it until the last call that uses it has ended.
 */
final class EngineSimulation implements EngineControl {

    static final int PLACES = 3;
    static final int ADAPTER_PLACES = 2;
    static final Duration LOAD = Duration.ofMillis(1200);
    private static final long LONG_AGO_MILLIS = 3_600_000;
    private static final Duration ADAPTER_LOAD = Duration.ofMillis(10);
    private static final Duration LAG = Duration.ofMillis(200);
    private static final Duration WAY = Duration.ofMillis(3);

    final VirtualTimeScheduler mScheduler;
    final DecisionLoop mLoop;
    final List<String> mViolations = new ArrayList<>();
    final Map<String, Engine> mEngines = new HashMap<>();
    private final Random mRandom;
    double mLostAnswers;
    double mLateOrders;
    int mMostLateMillis = 4000;
    Duration mUnloadTime = Duration.ZERO;
    final Map<OrderKind, Long> mLastAccepted = new HashMap<>();

    EngineSimulation(long seed, VirtualTimeScheduler scheduler) {
        mRandom = new Random(seed);
        mScheduler = scheduler;
        mLoop = new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
    }

    /** One engine. */
    final class Engine {
        final String mName;
        long mBorn = -LONG_AGO_MILLIS;
        long mOrders;
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
                    mBorn,
                    "pool",
                    "10.0.0.1:1",
                    new FailureDomain("d"),
                    48,
                    false,
                    OptionalLong.empty(),
                    0,
                    stock());
        }

        ServerModelState stock() {
            Map<String, Set<String>> loaded = new HashMap<>();
            mLoaded.forEach(model -> loaded.put(model, mAdapters.getOrDefault(model, Set.of())));
            Set<String> disk = new HashSet<>();
            for (int model = 0; model < 12; model++) {
                disk.add("m" + model);
            }
            return new ServerModelState(mOrders, !mLoading.isEmpty(), loaded, Set.of(), disk);
        }

        void restart() {
            mBorn = Math.max(mBorn + 1, timeOfDay().toEpochMilli());
            mOrders = 0;
            mLoading = "";
            mLoaded.clear();
            mAdapters.clear();
            mPendingAdapters.clear();
            mAdaptersInUse.clear();
            mHistory.clear();
            changed();
        }

        OrderAnswer take(EngineOrder order) {
            changed();
            OrderAnswer answer = decide(order);
            changed();
            return answer;
        }

        private OrderAnswer decide(EngineOrder order) {
            if (!mLoading.isEmpty() || order.expectedOrders() != mOrders) {
                return OrderAnswer.REFUSED;
            }
            if (order.adapter().isPresent()) {
                return takeAdapter(order, order.adapter().get());
            }
            mLastAccepted.put(order.kind(), mScheduler.now(TimeUnit.MILLISECONDS));
            if (order.kind() == OrderKind.UNLOAD) {
                mOrders++;
                busyWithUnload();
                mLoaded.remove(order.model());
                mAdapters.remove(order.model());
                return OrderAnswer.ACCEPTED;
            }
            if (mLoaded.contains(order.model())) {
                return OrderAnswer.ALREADY;
            }
            if (mLoaded.size() >= PLACES) {
                mViolations.add(mName + " has no room for " + order.model() + " " + mLoaded);
            }
            mOrders++;
            mLoading = order.model();
            long born = mBorn;
            mScheduler.schedule(
                    () -> {
                        if (mBorn == born) {
                            mLoaded.add(mLoading);
                            mLoading = "";
                            changed();
                        }
                    },
                    LOAD.toMillis(),
                    TimeUnit.MILLISECONDS);
            return OrderAnswer.ACCEPTED;
        }

        private void busyWithUnload() {
            if (mUnloadTime.isZero()) {
                return;
            }
            mLoading = "nothing";
            long born = mBorn;
            mScheduler.schedule(
                    () -> {
                        if (mBorn == born) {
                            mLoading = "";
                            changed();
                        }
                    },
                    mUnloadTime.toMillis(),
                    TimeUnit.MILLISECONDS);
        }

        private OrderAnswer takeAdapter(EngineOrder order, String adapter) {
            Set<String> held = mAdapters.computeIfAbsent(order.model(), name -> new HashSet<>());
            if (held.contains(adapter) == (order.kind() == OrderKind.LOAD)) {
                return OrderAnswer.ALREADY;
            }
            mOrders++;
            if (order.kind() == OrderKind.UNLOAD) {
                if (mAdaptersInUse.contains(adapter)) {
                    return OrderAnswer.ACCEPTED;
                }
                held.remove(adapter);
                return OrderAnswer.ALREADY;
            }
            int places = mPendingAdapters.size();
            places += mAdapters.values().stream().mapToInt(Set::size).sum();
            if (places >= ADAPTER_PLACES) {
                mViolations.add(mName + " has no place for " + adapter + " " + mAdapters);
            }
            mPendingAdapters.add(adapter);
            long born = mBorn;
            mScheduler.schedule(
                    () -> {
                        if (mBorn == born) {
                            mPendingAdapters.remove(adapter);
                            held.add(adapter);
                            changed();
                        }
                    },
                    ADAPTER_LOAD.toMillis(),
                    TimeUnit.MILLISECONDS);
            return OrderAnswer.ACCEPTED;
        }

        /** Ends the calls on an adapter, which is then dropped. */
        void endCalls(String model, String adapter) {
            mAdaptersInUse.remove(adapter);
            mAdapters.get(model).remove(adapter);
            changed();
        }

        /** Notes the present state for later reports. */
        private void changed() {
            mHistory.addLast(new Snapshot(mScheduler.now(TimeUnit.MILLISECONDS), stock()));
        }

        /** Reports are as of a while ago. */
        ServerLoadReport report() {
            long then = mScheduler.now(TimeUnit.MILLISECONDS) - LAG.toMillis();
            if (mHistory.isEmpty() || !mHistory.getLast().stock().equals(stock())) {
                changed();
            }
            Snapshot shown =
                    mHistory.stream()
                            .filter(snapshot -> snapshot.atMillis() <= then)
                            .reduce(mHistory.getFirst(), (before, next) -> next);
            mHistory.removeIf(snapshot -> snapshot.atMillis() < shown.atMillis());
            return new ServerLoadReport(shown.stock(), 0, 0);
        }
    }

    Instant timeOfDay() {
        return Instant.ofEpochMilli(mScheduler.now(TimeUnit.MILLISECONDS));
    }

    private record Snapshot(long atMillis, ServerModelState stock) {}

    Engine add(String name, Set<String> loaded) {
        Engine engine = new Engine(name, loaded);
        mEngines.put(name, engine);
        return engine;
    }

    @Override
    public Mono<OrderAnswer> sendOrder(RegisteredServer server, EngineOrder order) {
        Engine engine = mEngines.get(server.instance());
        if (mRandom.nextDouble() < mLateOrders) {
            long delay = 500 + mRandom.nextInt(mMostLateMillis);
            mScheduler.schedule(() -> engine.take(order), delay, TimeUnit.MILLISECONDS);
            return Mono.delay(Duration.ofMillis(500), mScheduler).map(tick -> OrderAnswer.UNKNOWN);
        }
        boolean lost = mRandom.nextDouble() < mLostAnswers;
        return Mono.delay(WAY, mScheduler)
                .map(
                        tick -> {
                            OrderAnswer answer = engine.take(order);
                            return lost ? OrderAnswer.UNKNOWN : answer;
                        });
    }

    @Override
    public Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server) {
        Engine engine = mEngines.get(server.instance());
        return Mono.delay(WAY, mScheduler).map(tick -> Either.right(engine.report()));
    }
}
