package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Models of a pool that callers asked for recently. With fewer engines than these models need,
 * loads displace models whose callers come back.
 */
public final class RecentModels {

    /** Longer than the longest load and the longest wave of demand, 8 s and 17 s. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

    /** Averages out bursts of calls for rare models, and is short against the time of a boot. */
    private static final long GROWTH_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<ModelName, Long> mRequestedAt = new HashMap<>();

    /** Times since which models are requested without a pause of the retention time. */
    private final Map<String, Long> mRequestedSince = new HashMap<>();

    /** Records that callers ask for the model now. */
    public void recordRequest(ModelName name, long nowNanos) {
        mRequestedAt.put(name, nowNanos);
        mRequestedSince.putIfAbsent(name.model(), nowNanos);
    }

    /** Forgets the models that nobody has asked for recently. */
    public void removeExpired(long nowNanos) {
        mRequestedAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        mRequestedSince
                .keySet()
                .retainAll(
                        mRequestedAt.keySet().stream()
                                .map(ModelName::model)
                                .collect(Collectors.toSet()));
    }

    /**
     * Returns the number of further models that callers will have asked for after the given time,
     * if models go on to be asked for as they were in the last seconds.
     */
    double expectedNewModels(Duration time, long nowNanos) {
        long recent =
                mRequestedSince.values().stream()
                        .filter(since -> nowNanos - since < GROWTH_NANOS)
                        .count();
        return (double) recent * time.toNanos() / GROWTH_NANOS;
    }

    /** Returns the number of engines that can hold each model of the profile once. */
    public static double enginesForAll(EngineProfile profile) {
        int models = profile.models().size();
        double megabytes =
                profile.models().values().stream()
                        .mapToDouble(ModelProfile::weightsMegabytes)
                        .sum();
        return models == 0 || profile.weightsMegabytes() <= 0
                ? 0
                : models / modelsPerEngine(profile, models, megabytes);
    }

    /** Returns a whole number, since memory that is too small for another model stays empty. */
    private static double modelsPerEngine(EngineProfile profile, int models, double megabytes) {
        return Math.max(1, Math.floor(profile.weightsMegabytes() * models / megabytes));
    }

    /** Returns the number of models without their adapters. */
    public int count() {
        return (int) mRequestedAt.keySet().stream().map(ModelName::model).distinct().count();
    }

    /**
     * Returns the number of engines that can hold the models and their adapters.
     *
     * @param callsByModel concurrent calls by model; a busy model needs several copies
     * @param startTime time until a server that is ordered now can hold a model
     */
    public double engines(
            EngineProfile profile,
            Map<String, Integer> callsByModel,
            Duration startTime,
            long nowNanos) {
        Set<String> names = new HashSet<>(callsByModel.keySet());
        int adapters = 0;
        double adapterMegabytes = 0;
        for (ModelName name : mRequestedAt.keySet()) {
            ModelProfile model = profile.models().get(name.model());
            names.add(name.model());
            if (model != null && name.adapter().isPresent()) {
                adapters++;
                adapterMegabytes += model.adapterMegabytes();
            }
        }
        int models = 0;
        int copies = 0;
        double modelMegabytes = 0;
        for (String name : names) {
            ModelProfile model = profile.models().get(name);
            if (model != null) {
                int calls = callsByModel.getOrDefault(name, 0);
                models++;
                copies += CallCapacity.copies(calls, profile.requestSlots());
                modelMegabytes += model.weightsMegabytes();
            }
        }
        if (models == 0 || profile.weightsMegabytes() <= 0) {
            return 0;
        }
        double modelsPerEngine = modelsPerEngine(profile, models, modelMegabytes);
        double newModels =
                Math.min(
                        expectedNewModels(startTime, nowNanos),
                        Math.max(0, profile.models().size() - models));
        double expectedCopies = copies + newModels;
        double byModels = expectedCopies / modelsPerEngine;
        double byMemory =
                (modelMegabytes * expectedCopies / models + adapterMegabytes)
                        / profile.weightsMegabytes();
        double byAdapters =
                profile.adapterSlots() > 0 ? (double) adapters / profile.adapterSlots() : 0;
        return Math.max(byModels, Math.max(byMemory, byAdapters));
    }
}
