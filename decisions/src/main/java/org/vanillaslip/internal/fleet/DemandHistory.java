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
    private static final double AVERAGING_NANOS = Duration.ofSeconds(6).toNanos();

    /** A model that was asked for urgently may become busy again. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(2).toNanos();

    /** Adapters beyond this number that nobody has asked for recently are forgotten. */
    private static final int MAX_ADAPTERS_BEFORE_CLEANUP = 4096;

    private final Map<String, Demand> mDemands = new HashMap<>();
    private final Map<ModelName, Long> mAdapterRequestedAt = new HashMap<>();

    /** Notes calls for a model. */
    public void recordCalls(String model, int calls, boolean urgent, long nowNanos) {
        Demand demand = mDemands.computeIfAbsent(model, name -> new Demand());
        demand.decay(nowNanos);
        if (urgent) {
            demand.mUrgent += calls;
            demand.mLastUrgentAt = nowNanos;
        } else {
            demand.mNonUrgent += calls;
        }
    }

    /** Notes that an adapter is asked for. */
    public void recordAdapterRequest(ModelName adapter, long nowNanos) {
        mAdapterRequestedAt.put(adapter, nowNanos);
        if (mAdapterRequestedAt.size() > MAX_ADAPTERS_BEFORE_CLEANUP) {
            mAdapterRequestedAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        }
    }

    /** Returns when an adapter was asked for last; the smallest number if that is not known. */
    long lastAdapterRequest(ModelName adapter) {
        return mAdapterRequestedAt.getOrDefault(adapter, Long.MIN_VALUE);
    }

    /** Returns urgent calls per second. */
    public double urgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mUrgent / AVERAGING_NANOS * 1e9;
    }

    /** Returns other calls per second. */
    public double nonUrgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mNonUrgent / AVERAGING_NANOS * 1e9;
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
                && demand.mLastUrgentAt != Long.MIN_VALUE
                && nowNanos - demand.mLastUrgentAt < RETENTION_NANOS;
    }

    /** Calls for one model. */
    private static final class Demand {
        private double mUrgent;
        private double mNonUrgent;
        private long mLastUrgentAt = Long.MIN_VALUE;
        private long mDecayedAt;

        void decay(long nowNanos) {
            double factor = Math.exp(-Math.max(0, nowNanos - mDecayedAt) / AVERAGING_NANOS);
            mUrgent *= factor;
            mNonUrgent *= factor;
            mDecayedAt = nowNanos;
        }
    }
}
