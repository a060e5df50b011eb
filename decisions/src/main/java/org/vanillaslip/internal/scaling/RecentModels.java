package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
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

    private final Map<ModelName, Long> mRequestedAt = new HashMap<>();

    /** Records that callers ask for the model now. */
    public void recordRequest(ModelName name, long nowNanos) {
        mRequestedAt.put(name, nowNanos);
    }

    /** Forgets the models that nobody has asked for recently. */
    public void removeExpired(long nowNanos) {
        mRequestedAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
    }

    /** Returns the number of models without their adapters. */
    public int count() {
        return (int) mRequestedAt.keySet().stream().map(ModelName::model).distinct().count();
    }

    /**
     * Returns the number of engines that can hold the models and their adapters.
     *
     * @param callsByModel concurrent calls by model; a busy model needs several copies
     */
    public double engines(EngineProfile profile, Map<String, Integer> callsByModel) {
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
        // Memory that is too small for another model stays empty.
        double modelsPerEngine =
                Math.max(1, Math.floor(profile.weightsMegabytes() * models / modelMegabytes));
        double byModels = copies / modelsPerEngine;
        double byMemory =
                (modelMegabytes * copies / models + adapterMegabytes) / profile.weightsMegabytes();
        double byAdapters =
                profile.adapterSlots() > 0 ? (double) adapters / profile.adapterSlots() : 0;
        return Math.max(byModels, Math.max(byMemory, byAdapters));
    }
}
