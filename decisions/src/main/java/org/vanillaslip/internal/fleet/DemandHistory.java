package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.ModelName;

/**
 * Recent calls by model. A call is urgent when its objective leaves no time to load the model from
 * a server's disk, so that only a loaded model serves it on time.
 */
public final class DemandHistory {

    /** Demand is averaged over this time; busy models change within a few seconds. */
    private static final double MEMORY_NANOS = Duration.ofSeconds(6).toNanos();

    /** A model that was asked for urgently may become busy again. */
    private static final long REMEMBERED_NANOS = Duration.ofMinutes(2).toNanos();

    /** Adapters beyond this number that nobody has asked for recently are forgotten. */
    private static final int REMEMBERED_ADAPTERS = 4096;

    private final Map<String, Demand> mDemands = new HashMap<>();
    private final Map<ModelName, Long> mAskedAt = new HashMap<>();

    /** Notes calls for a model. */
    public void recordCalls(String model, int calls, boolean urgent, long nowNanos) {
        Demand demand = mDemands.computeIfAbsent(model, name -> new Demand());
        demand.decay(nowNanos);
        if (urgent) {
            demand.mUrgent += calls;
            demand.mUrgentAt = nowNanos;
        } else {
            demand.mPatient += calls;
        }
    }

    /** Notes that an adapter is asked for. */
    public void recordAdapterRequest(ModelName adapter, long nowNanos) {
        mAskedAt.put(adapter, nowNanos);
        if (mAskedAt.size() > REMEMBERED_ADAPTERS) {
            mAskedAt.values().removeIf(at -> nowNanos - at > REMEMBERED_NANOS);
        }
    }

    /** Returns when an adapter was asked for last; the smallest number if that is not known. */
    long lastAdapterRequest(ModelName adapter) {
        return mAskedAt.getOrDefault(adapter, Long.MIN_VALUE);
    }

    /** Returns urgent calls per second. */
    public double urgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mUrgent / MEMORY_NANOS * 1e9;
    }

    /** Returns other calls per second. */
    public double nonUrgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mPatient / MEMORY_NANOS * 1e9;
    }

    /** Returns calls per second for all models. */
    public double totalRate(long nowNanos) {
        return mDemands.keySet().stream()
                .mapToDouble(model -> urgentRate(model, nowNanos) + nonUrgentRate(model, nowNanos))
                .sum();
    }

    /** Returns whether the model was asked for urgently within the last minutes. */
    public boolean wasRecentlyUrgent(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        return demand != null
                && demand.mUrgentAt != Long.MIN_VALUE
                && nowNanos - demand.mUrgentAt < REMEMBERED_NANOS;
    }

    /** Calls for one model. */
    private static final class Demand {
        private double mUrgent;
        private double mPatient;
        private long mUrgentAt = Long.MIN_VALUE;
        private long mDecayedAt;

        void decay(long nowNanos) {
            double kept = Math.exp(-Math.max(0, nowNanos - mDecayedAt) / MEMORY_NANOS);
            mUrgent *= kept;
            mPatient *= kept;
            mDecayedAt = nowNanos;
        }
    }
}
