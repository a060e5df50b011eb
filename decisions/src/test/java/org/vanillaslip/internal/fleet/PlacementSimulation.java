package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Calls for busy models, their adapters and many rare models on ten engines in virtual time. The
 * planner decides every order and forecast. A refused caller comes back once.
 */
final class PlacementSimulation {

    static final int ENGINES = 10;
    static final int RARE_MODELS = 100;
    static final int UNUSED_MODELS = 200;
    static final Duration LENGTH = Duration.ofSeconds(40);
    private static final Duration RUN_OUT = Duration.ofSeconds(10);
    private static final long STEP_MILLIS = 20;
    private static final int STORE_LOADS_AT_FULL_SPEED = 8;
    private static final int MAX_STORE_LOADS =
            StoreLoadShare.maxLoads(ENGINES, STORE_LOADS_AT_FULL_SPEED);
    private static final int MAX_CALLS = 40;
    private static final long PLANNING_MILLIS = 60;
    private static final long BURST_START_MILLIS = 9000;
    private static final long BURST_END_MILLIS = 15_000;
    private static final long MUTUAL_EVICTION_MILLIS = 8000;
    private static final double MODEL_MEGABYTES = 70_000;

    /** Adapters of the models with many callers; the third is busy in the second half only. */
    private static final List<Integer> ADAPTERS = List.of(40, 12, 0);

    /** Calls of one kind, per second. */
    private record CallKind(
            double perSecond,
            long objectiveMillis,
            long deadlineMillis,
            int priority,
            double adapterShare,
            boolean rare) {}

    private static final List<CallKind> KINDS =
            List.of(
                    new CallKind(20, 500, 10_000, 2, 0.1, false),
                    new CallKind(6, 2000, 3000, 0, 0.5, false),
                    new CallKind(9, 3000, 25_000, 1, 0, true));

    /** Calls and answers of a model or adapter. */
    static final class Subject {
        int mAsked;
        private int mServed;
        long mFirstMillis = Long.MAX_VALUE;
        long mLastMillis;

        boolean askedRepeatedly() {
            return mAsked >= 4 && mLastMillis - mFirstMillis >= 8000;
        }
    }

    private record Call(ModelName model, CallKind kind, long arrivedMillis, boolean retry) {
        long deadlineMillis() {
            return arrivedMillis + kind.deadlineMillis();
        }

        long objectiveMillis() {
            return arrivedMillis + kind.objectiveMillis();
        }
    }

    private record Retry(long atMillis, Call call) {}

    final Map<ModelName, Subject> mSubjects = new LinkedHashMap<>();
    final List<SimulatedEngine> mEngines = new ArrayList<>();
    private int mCalls;
    private int mOnTime;
    private int mServed;
    private int mStoreLoads;
    private int mMutualEvictions;
    private final Random mRandom;
    private final EngineProfile mProfile;
    private final DemandHistory mHistory = new DemandHistory();
    private final RefusedDemand mRefused = new RefusedDemand();
    private final List<Call> mWaiting = new ArrayList<>();
    private final List<Retry> mRetries = new ArrayList<>();
    private final Map<String, Long> mEvictedFor = new HashMap<>();
    private final double[] mRareWeights = weights(RARE_MODELS, 0.3);

    PlacementSimulation(long seed) {
        mRandom = new Random(seed);
        mProfile = profile();
        List<String> names = new ArrayList<>(mProfile.models().keySet());
        List<String> rare =
                new ArrayList<>(names.subList(ADAPTERS.size(), ADAPTERS.size() + RARE_MODELS));
        Collections.shuffle(rare, mRandom);
        int next = 0;
        for (int index = 0; index < ENGINES; index++) {
            SimulatedEngine engine = new SimulatedEngine("e" + index, mProfile);
            mEngines.add(engine);
            List<String> copies = new ArrayList<>(names);
            Collections.shuffle(copies, mRandom);
            copies.subList(0, SimulatedEngine.MODELS_ON_DISK - 3).forEach(engine::addCopy);
            if (index < 6) {
                engine.addLoaded("m0");
            }
            if (index == 5 || index == 6) {
                engine.addLoaded("m" + (index - 4));
            }
            while (engine.mLoaded.size() < 3) {
                engine.addLoaded(rare.get(next++));
            }
        }
    }

    private static EngineProfile profile() {
        Map<String, ModelProfile> profiles = new LinkedHashMap<>();
        for (int index = 0; index < ADAPTERS.size() + RARE_MODELS + UNUSED_MODELS; index++) {
            String name = "m" + index;
            profiles.put(
                    name,
                    new ModelProfile(
                            name,
                            MODEL_MEGABYTES,
                            index < ADAPTERS.size() ? ADAPTERS.get(index) : 0,
                            12,
                            Duration.ofMillis(7800),
                            Duration.ofMillis(1000),
                            Duration.ofMillis(400)));
        }
        return new EngineProfile(32, 3 * MODEL_MEGABYTES + 10_000, 8, 4.8, profiles);
    }

    private static double[] weights(int count, double exponent) {
        double[] sums = new double[count];
        double sum = 0;
        for (int index = 0; index < count; index++) {
            sum += Math.pow(index + 1, -exponent);
            sums[index] = sum;
        }
        return sums;
    }

    private int draw(double[] sums) {
        double value = mRandom.nextDouble() * sums[sums.length - 1];
        int index = 0;
        while (sums[index] < value) {
            index++;
        }
        return index;
    }

    PlacementSimulation run() {
        for (long now = 0; now < LENGTH.plus(RUN_OUT).toMillis(); now += STEP_MILLIS) {
            for (SimulatedEngine engine : mEngines) {
                engine.advance(now);
            }
            if (now < LENGTH.toMillis()) {
                receiveNewCalls(now);
            }
            receiveRetries(now);
            dispatch(now);
            if (now % PLANNING_MILLIS == 0) {
                plan(now);
            }
        }
        return this;
    }

    private void receiveNewCalls(long now) {
        for (CallKind kind : KINDS) {
            double perSecond = kind.perSecond() * (kind.rare() && isBurst(now) ? 2 : 1);
            if (mRandom.nextDouble() < perSecond * STEP_MILLIS / 1000) {
                receive(new Call(model(kind, now), kind, now, false), now);
            }
        }
    }

    private void receiveRetries(long now) {
        List<Retry> due = mRetries.stream().filter(retry -> retry.atMillis() <= now).toList();
        mRetries.removeAll(due);
        due.forEach(retry -> receive(retry.call(), now));
    }

    private static boolean isBurst(long now) {
        return now >= BURST_START_MILLIS && now < BURST_END_MILLIS;
    }

    private ModelName model(CallKind kind, long now) {
        if (kind.rare()) {
            int index = ADAPTERS.size() + draw(mRareWeights);
            return new ModelName("m" + index, Optional.empty());
        }
        int other = now < LENGTH.toMillis() / 2 ? 1 : 2;
        int index = mRandom.nextDouble() < 0.7 ? 0 : other;
        if (ADAPTERS.get(index) == 0 || mRandom.nextDouble() >= kind.adapterShare()) {
            return new ModelName("m" + index, Optional.empty());
        }
        int adapter = 1 + draw(weights(ADAPTERS.get(index), 0.4));
        return new ModelName("m" + index, Optional.of("a" + adapter));
    }

    private void receive(Call call, long now) {
        if (!call.retry()) {
            Subject subject = mSubjects.computeIfAbsent(call.model(), name -> new Subject());
            subject.mAsked++;
            subject.mFirstMillis = Math.min(subject.mFirstMillis, now);
            subject.mLastMillis = now;
            mCalls++;
        }
        boolean urgent = call.kind().objectiveMillis() < 1000;
        mHistory.recordCalls(call.model().model(), 1, urgent, nanos(now));
        if (call.model().adapter().isPresent()) {
            mHistory.recordAdapterRequest(call.model(), nanos(now));
        }
        mWaiting.add(call);
    }

    private void dispatch(long now) {
        for (Call call : List.copyOf(mWaiting)) {
            Optional<SimulatedEngine> engine =
                    mEngines.stream()
                            .filter(one -> one.hasLoaded(call.model()))
                            .filter(one -> one.activeCalls() < MAX_CALLS)
                            .min(Comparator.comparingInt(SimulatedEngine::activeCalls));
            if (engine.isPresent()) {
                engine.get().run(call.model(), now + 500 + mRandom.nextInt(1500));
                mWaiting.remove(call);
                mServed++;
                boolean onTime = now <= call.objectiveMillis();
                mOnTime += onTime ? 1 : 0;
                subject(call).mServed++;
            } else if (now >= call.deadlineMillis()) {
                mWaiting.remove(call);
            }
        }
    }

    private Subject subject(Call call) {
        return Objects.requireNonNull(mSubjects.get(call.model()));
    }

    private boolean isLoaded(ModelName name) {
        return mEngines.stream().anyMatch(engine -> engine.hasLoaded(name));
    }

    private void plan(long now) {
        Map<ModelName, LoadDemand> waiting = new HashMap<>();
        for (Call call : mWaiting) {
            if (!isLoaded(call.model())) {
                waiting.merge(call.model(), toDemand(call, now), LoadDemand::mergedWith);
            }
        }
        Map<ModelName, LoadDemand> demands = mRefused.merge(waiting, this::isLoaded, nanos(now));
        int running = (int) mEngines.stream().filter(SimulatedEngine::loadsFromStore).count();
        LoadPlan plan =
                LoadPlanner.plan(
                        mProfile,
                        mHistory,
                        mEngines.stream().map(engine -> engine.state(now)).toList(),
                        demands.values(),
                        MAX_STORE_LOADS,
                        MAX_STORE_LOADS - running,
                        nanos(now));
        plan.orders().forEach(order -> send(order, now));
        waiting.forEach(
                (model, demand) -> {
                    Duration expected = plan.expectedWaits().get(model);
                    if (expected != null) {
                        mRefused.recordForecast(demand, expected, nanos(now));
                        refuseLate(model, expected, now);
                    } else {
                        refuseLate(model, Duration.ofDays(1), now);
                    }
                });
    }

    private void refuseLate(ModelName model, Duration expected, long now) {
        for (Call call : List.copyOf(mWaiting)) {
            long left = call.deadlineMillis() - now;
            if (call.model().equals(model) && expected.toMillis() > left) {
                mWaiting.remove(call);
                if (!call.retry()) {
                    long at = now + Math.min(expected.toMillis(), left / 3);
                    mRetries.add(
                            new Retry(
                                    at, new Call(model, call.kind(), call.arrivedMillis(), true)));
                }
            }
        }
    }

    private static LoadDemand toDemand(Call call, long now) {
        return new LoadDemand(
                call.model(),
                1,
                Duration.ofMillis(call.objectiveMillis() - now),
                Duration.ofMillis(call.deadlineMillis() - now),
                call.kind().priority());
    }

    private void send(PlannedOrder order, long now) {
        SimulatedEngine engine =
                mEngines.stream()
                        .filter(one -> one.mName.equals(order.instance()))
                        .findFirst()
                        .orElseThrow();
        if (order.adapter().isEmpty() && order.kind() == OrderKind.UNLOAD) {
            Long reverse = mEvictedFor.get(order.loadTarget() + " " + order.model());
            if (reverse != null && now - reverse < MUTUAL_EVICTION_MILLIS) {
                mMutualEvictions++;
            }
            mEvictedFor.put(order.model() + " " + order.loadTarget(), now);
        }
        mStoreLoads += order.fromStore() ? 1 : 0;
        engine.start(order, now);
    }

    String summary() {
        return String.format(
                "%d calls, %d served, %d on time, %d loads from the store, %d mutual evictions",
                mCalls, mServed, mOnTime, mStoreLoads, mMutualEvictions);
    }

    List<String> violations() {
        return mEngines.stream().flatMap(engine -> engine.mViolations.stream()).toList();
    }

    long repeatedSubjects() {
        return mSubjects.values().stream().filter(Subject::askedRepeatedly).count();
    }

    List<ModelName> neverServed() {
        return mSubjects.entrySet().stream()
                .filter(entry -> entry.getValue().askedRepeatedly())
                .filter(entry -> entry.getValue().mServed == 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static long nanos(long millis) {
        return Duration.ofMinutes(1).plusMillis(millis).toNanos();
    }
}
