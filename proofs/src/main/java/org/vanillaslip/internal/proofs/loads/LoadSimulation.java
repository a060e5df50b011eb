package org.vanillaslip.internal.proofs.loads;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.fleet.DemandHistory;
import org.vanillaslip.internal.fleet.LoadDemand;
import org.vanillaslip.internal.fleet.OrderKind;
import org.vanillaslip.internal.fleet.PlannedOrder;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Simulates six engines that hold three models each, 50 models, and callers that give up when they
 * wait too long.
 */
public final class LoadSimulation {

    /** Number of models that fit into the memory of one engine. */
    static final int MODELS_PER_ENGINE = 3;

    static final long DISK_LOAD_MILLIS = 1200;
    static final long STORE_LOAD_MILLIS = 6000;

    /** Number of concurrent loads that the weight store serves at full speed. */
    static final int MAX_STORE_LOADS = 4;

    private static final int ENGINES = 6;
    private static final int MODELS = 50;
    private static final int URGENT_MODELS = 5;
    private static final int BUSY_MODELS = 2;
    private static final int MODELS_ON_DISK = 18;
    private static final int RUN_SECONDS = 60;
    private static final long STEP_MILLIS = 20;
    private static final long CALL_DURATION_MILLIS = 1600;
    private static final double WEIGHT_SIZE = 70;
    private static final ServiceObjective URGENT = new ServiceObjective(500, 2000);
    private static final ServiceObjective PATIENT = new ServiceObjective(2500, 10_000);

    private final LoadPolicy mPolicy;
    private final LoadPattern mPattern;
    private final Random mRandom;
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final List<Call> mWaiting = new ArrayList<>();
    private final DemandHistory mHistory = new DemandHistory();
    private final int[] mOnTime = new int[2];
    private final int[] mCalls = new int[2];
    private int mAbandonedCalls;
    private int mDiskLoads;
    private int mStoreLoads;

    private record ServiceObjective(long onTimeMillis, long maxWaitMillis) {}

    private record Call(String model, boolean urgent, long arrivalMillis) {
        ServiceObjective objective() {
            return urgent ? URGENT : PATIENT;
        }
    }

    /** Creates a simulation; the same seed generates the same calls for every policy. */
    public LoadSimulation(LoadPolicy policy, LoadPattern pattern, long seed) {
        mPolicy = policy;
        mPattern = pattern;
        mRandom = new Random(seed);
        for (int engine = 0; engine < ENGINES; engine++) {
            Set<String> disk = new HashSet<>();
            while (disk.size() < MODELS_ON_DISK) {
                disk.add(modelName(mRandom.nextInt(MODELS)));
            }
            Set<String> loaded = new HashSet<>();
            for (int slot = 0; slot < MODELS_PER_ENGINE; slot++) {
                int number = slot < BUSY_MODELS ? slot : URGENT_MODELS + engine;
                loaded.add(modelName(number));
            }
            disk.addAll(loaded);
            mEngines.add(new SimulatedEngine("e" + engine, loaded, disk));
        }
    }

    /** Returns the capacity of the engines and the load times of the models. */
    public static EngineProfile profile() {
        Map<String, ModelProfile> models = new LinkedHashMap<>();
        for (int number = 0; number < MODELS; number++) {
            models.put(
                    modelName(number),
                    new ModelProfile(
                            modelName(number),
                            WEIGHT_SIZE,
                            0,
                            0,
                            Duration.ofMillis(STORE_LOAD_MILLIS),
                            Duration.ofMillis(DISK_LOAD_MILLIS),
                            Duration.ofMillis(DISK_LOAD_MILLIS / 2)));
        }
        return new EngineProfile(64, WEIGHT_SIZE * MODELS_PER_ENGINE, 8, 3, models);
    }

    /** Runs the simulation and returns the outcomes of the calls. */
    public LoadResult run() {
        for (long now = 0; now < RUN_SECONDS * 1000L; now += STEP_MILLIS) {
            long moment = now;
            mEngines.forEach(engine -> engine.advance(moment));
            generateCalls(now);
            startCalls(now);
            placeOrders(now);
        }
        return new LoadResult(
                mOnTime[0],
                mCalls[0],
                mOnTime[1],
                mCalls[1],
                mAbandonedCalls,
                mDiskLoads,
                mStoreLoads);
    }

    private void generateCalls(long now) {
        double patient = mPattern.patientPerSecond();
        if (now >= 10_000 && now < 16_000) {
            patient *= mPattern.burstFactor();
        }
        if (mRandom.nextDouble() < mPattern.urgentPerSecond() * STEP_MILLIS / 1000) {
            int shift =
                    mPattern.shiftSeconds() == 0 ? 0 : (int) (now / 1000 / mPattern.shiftSeconds());
            int number = (shift + mRandom.nextInt(BUSY_MODELS)) % URGENT_MODELS;
            addCall(new Call(modelName(number), true, now));
        }
        if (mRandom.nextDouble() < patient * STEP_MILLIS / 1000) {
            int number = URGENT_MODELS + mRandom.nextInt(MODELS - URGENT_MODELS);
            addCall(new Call(modelName(number), false, now));
        }
    }

    private void addCall(Call call) {
        mWaiting.add(call);
        mCalls[call.urgent() ? 0 : 1]++;
        mHistory.recordCalls(call.model(), 1, call.urgent(), call.arrivalMillis() * 1_000_000);
    }

    private void startCalls(long now) {
        Iterator<Call> calls = mWaiting.iterator();
        while (calls.hasNext()) {
            Call call = calls.next();
            long waited = now - call.arrivalMillis();
            Optional<SimulatedEngine> engine =
                    mEngines.stream()
                            .filter(found -> found.hasLoaded(call.model()))
                            .min(Comparator.comparingInt(SimulatedEngine::runningCalls));
            if (engine.isPresent()) {
                engine.get().startCall(call.model(), now, CALL_DURATION_MILLIS);
                mOnTime[call.urgent() ? 0 : 1] += waited <= call.objective().onTimeMillis() ? 1 : 0;
                calls.remove();
            } else if (waited > call.objective().maxWaitMillis()) {
                mAbandonedCalls++;
                calls.remove();
            }
        }
    }

    private void placeOrders(long now) {
        int availableStoreLoads =
                MAX_STORE_LOADS
                        - (int)
                                mEngines.stream()
                                        .filter(SimulatedEngine::isLoadingFromStore)
                                        .count();
        List<PlannedOrder> orders =
                mPolicy.plan(
                        mEngines.stream().map(engine -> engine.state(now)).toList(),
                        demands(now).values(),
                        mHistory,
                        (engine, model) -> engine(engine).lastUseMillis(model),
                        availableStoreLoads,
                        now * 1_000_000);
        for (PlannedOrder order : orders) {
            engine(order.instance()).startOrder(order, now);
            if (order.kind() == OrderKind.LOAD) {
                mStoreLoads += order.fromStore() ? 1 : 0;
                mDiskLoads += order.fromStore() ? 0 : 1;
            }
        }
    }

    private Map<ModelName, LoadDemand> demands(long now) {
        Map<ModelName, LoadDemand> demands = new LinkedHashMap<>();
        for (Call call : mWaiting) {
            ModelName name = new ModelName(call.model(), Optional.empty());
            long waited = now - call.arrivalMillis();
            LoadDemand demand =
                    new LoadDemand(
                            name,
                            1,
                            Duration.ofMillis(call.objective().onTimeMillis() - waited),
                            Duration.ofMillis(call.objective().maxWaitMillis() - waited),
                            0);
            demands.merge(name, demand, LoadDemand::mergedWith);
        }
        return demands;
    }

    private SimulatedEngine engine(String name) {
        return mEngines.stream()
                .filter(engine -> engine.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static String modelName(int number) {
        return "m" + number;
    }
}
