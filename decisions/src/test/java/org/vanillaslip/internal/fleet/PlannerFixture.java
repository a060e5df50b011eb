package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/** Planner input for a small pool of engines with memory for three models each. */
final class PlannerFixture {

    static final Duration STORE_LOAD_TIME = Duration.ofSeconds(6);
    static final Duration DISK_LOAD_TIME = Duration.ofMillis(1200);
    private static final double MODEL_MEGABYTES = 70_000;

    final DemandHistory mHistory = new DemandHistory();
    final List<EngineState> mEngines = new ArrayList<>();
    final List<LoadDemand> mDemands = new ArrayList<>();
    final Set<String> mRecentlyLoaded = new HashSet<>();
    UnconfirmedLoads mUnconfirmedLoads = UnconfirmedLoads.NONE;
    long mNow = Duration.ofMinutes(1).toNanos();
    int mMaxStoreLoads = 4;
    int mStoreBudget = 4;

    static EngineProfile profile(int models) {
        Map<String, ModelProfile> profiles = new LinkedHashMap<>();
        for (int index = 0; index < models; index++) {
            String name = "m" + index;
            profiles.put(
                    name,
                    new ModelProfile(
                            name,
                            MODEL_MEGABYTES,
                            4,
                            60,
                            STORE_LOAD_TIME,
                            DISK_LOAD_TIME,
                            Duration.ofMillis(600)));
        }
        return new EngineProfile(48, 3 * MODEL_MEGABYTES + 1000, 8, 4.8, profiles);
    }

    PlannerFixture engine(String name, Set<String> loaded, Set<String> onDisk) {
        return engine(name, loaded, onDisk, Map.of(), Duration.ZERO, Optional.empty());
    }

    PlannerFixture engine(
            String name,
            Set<String> loaded,
            Set<String> onDisk,
            Map<String, Integer> running,
            Duration busyFor,
            Optional<String> loading) {
        Map<String, Set<String>> adapters = new HashMap<>();
        loaded.forEach(model -> adapters.put(model, Set.of()));
        return engine(name, adapters, onDisk, running, busyFor, loading);
    }

    PlannerFixture engine(
            String name,
            Map<String, Set<String>> loaded,
            Set<String> onDisk,
            Map<String, Integer> running,
            Duration busyFor,
            Optional<String> loading) {
        mEngines.add(
                new EngineState(
                        name,
                        new FailureDomain("d" + mEngines.size() % 3),
                        new ServerModelState(0, false, loaded, Set.of(), onDisk),
                        running,
                        running.values().stream().mapToInt(Integer::intValue).sum(),
                        busyFor,
                        loading,
                        Set.copyOf(mRecentlyLoaded),
                        mUnconfirmedLoads));
        return this;
    }

    PlannerFixture demand(String model, long objectiveLeftMillis) {
        return demand(new ModelName(model, Optional.empty()), objectiveLeftMillis, 0);
    }

    PlannerFixture demand(ModelName model, long objectiveLeftMillis, int priority) {
        mDemands.add(
                new LoadDemand(
                        model,
                        1,
                        Duration.ofMillis(objectiveLeftMillis),
                        Duration.ofSeconds(20),
                        priority));
        return this;
    }

    PlannerFixture urgentCalls(String model, int calls) {
        mHistory.recordCalls(model, calls, true, mNow);
        return this;
    }

    PlannerFixture nonUrgentCalls(String model, int calls) {
        mHistory.recordCalls(model, calls, false, mNow);
        return this;
    }

    LoadPlan plan() {
        return LoadPlanner.plan(
                profile(20), mHistory, mEngines, mDemands, mMaxStoreLoads, mStoreBudget, mNow);
    }

    static ModelName model(String name) {
        return new ModelName(name, Optional.empty());
    }
}
