package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.ModelName;

/**
 * Recent demand by model. A call is urgent if its objective is shorter than the time to load the
 * model from a server's disk, so that only a server with the model loaded can meet it.
 */
public final class DemandHistory {

    /** Time constant of the moving average. The set of busy models changes within seconds. */
    private static final double AVERAGING_NANOS = Duration.ofSeconds(6).toNanos();

    /** Retention of the last urgent call and adapter request; models may become busy again. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(2).toNanos();

    /** Twice the models of the largest deployment; callers may ask for any name. */
    static final int MAX_MODELS = 4096;

    /** As many adapters as the largest deployment has. */
    static final int MAX_ADAPTERS = 50_000;

    /** Number of tracked adapters above which expired entries are removed. */
    private static final int MAX_ADAPTERS_BEFORE_CLEANUP = 4096;

    /** A model with a lower rate than this has not been asked for in a while. */
    private static final double IDLE_RATE = 0.001;

    private final Map<String, Demand> mDemands = new HashMap<>();
    private final Map<ModelName, Long> mAdapterRequestedAt = new HashMap<>();

    /** Records calls for a model. */
    public void recordCalls(String model, int calls, boolean urgent, long nowNanos) {
        Demand demand = demand(model, nowNanos);
        if (demand == null) {
            return;
        }
        demand.decay(nowNanos);
        demand.mCallsSinceLoaded += calls;
        if (urgent) {
            demand.mUrgentCalls += calls;
            demand.mLastUrgentAt = nowNanos;
        } else {
            demand.mNonUrgentCalls += calls;
        }
    }

    /** Records a request for an adapter. */
    public void recordAdapterRequest(ModelName adapter, long nowNanos) {
        Demand demand = demand(adapter.model(), nowNanos);
        if (demand == null) {
            return;
        }
        demand.decay(nowNanos);
        demand.mAdapterCalls++;
        if (mAdapterRequestedAt.size() >= MAX_ADAPTERS_BEFORE_CLEANUP) {
            mAdapterRequestedAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        }
        if (mAdapterRequestedAt.size() < MAX_ADAPTERS || mAdapterRequestedAt.containsKey(adapter)) {
            mAdapterRequestedAt.put(adapter, nowNanos);
        }
    }

    /** Returns the demand for a model, or null if it is new and too many others are asked for. */
    private @Nullable Demand demand(String model, long nowNanos) {
        if (mDemands.size() >= MAX_MODELS && !mDemands.containsKey(model)) {
            mDemands.keySet().removeAll(idleModels(nowNanos));
            if (mDemands.size() >= MAX_MODELS) {
                return null;
            }
        }
        return mDemands.computeIfAbsent(model, name -> new Demand());
    }

    private Set<String> idleModels(long nowNanos) {
        return mDemands.keySet().stream()
                .filter(model -> urgentRate(model, nowNanos) < IDLE_RATE)
                .filter(model -> nonUrgentRate(model, nowNanos) < IDLE_RATE)
                .filter(model -> adapterRate(model, nowNanos) < IDLE_RATE)
                .filter(model -> !wasRecentlyUrgent(model, nowNanos))
                .collect(Collectors.toSet());
    }

    /** Returns the number of models whose demand is known. */
    int models() {
        return mDemands.size();
    }

    /** Returns the number of adapters whose last request is known. */
    int adapters() {
        return mAdapterRequestedAt.size();
    }

    /**
     * Returns the time of the last request for an adapter, or {@link Long#MIN_VALUE} if unknown.
     */
    long lastAdapterRequest(ModelName adapter) {
        return mAdapterRequestedAt.getOrDefault(adapter, Long.MIN_VALUE);
    }

    /** Returns the average rate of urgent calls per second. */
    public double urgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mUrgentCalls / AVERAGING_NANOS * 1e9;
    }

    /** Returns the average rate of calls that are not urgent, per second. */
    public double nonUrgentRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mNonUrgentCalls / AVERAGING_NANOS * 1e9;
    }

    /** Records that a server has loaded the model. */
    void recordLoaded(String model) {
        Demand demand = mDemands.get(model);
        if (demand != null) {
            demand.mCallsSinceLoaded = 0;
        }
    }

    /** Returns the number of calls for the model since a server last had it loaded. */
    int callsSinceLoaded(String model) {
        Demand demand = mDemands.get(model);
        return demand == null ? 0 : demand.mCallsSinceLoaded;
    }

    /** Returns the average rate of calls for adapters of the model, per second. */
    double adapterRate(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        if (demand == null) {
            return 0;
        }
        demand.decay(nowNanos);
        return demand.mAdapterCalls / AVERAGING_NANOS * 1e9;
    }

    /** Returns the average rate of calls per second over all models. */
    public double totalRate(long nowNanos) {
        return mDemands.keySet().stream()
                .mapToDouble(model -> urgentRate(model, nowNanos) + nonUrgentRate(model, nowNanos))
                .sum();
    }

    /** Returns whether the model had an urgent call within the retention time. */
    public boolean wasRecentlyUrgent(String model, long nowNanos) {
        Demand demand = mDemands.get(model);
        return demand != null
                && demand.mLastUrgentAt != Long.MIN_VALUE
                && nowNanos - demand.mLastUrgentAt < RETENTION_NANOS;
    }

    /** Exponentially decaying call counts of one model. */
    private static final class Demand {
        private double mUrgentCalls;
        private double mNonUrgentCalls;
        private double mAdapterCalls;
        private int mCallsSinceLoaded;
        private long mLastUrgentAt = Long.MIN_VALUE;
        private long mDecayedAt;

        void decay(long nowNanos) {
            double factor = Math.exp(-Math.max(0, nowNanos - mDecayedAt) / AVERAGING_NANOS);
            mUrgentCalls *= factor;
            mNonUrgentCalls *= factor;
            mAdapterCalls *= factor;
            mDecayedAt = nowNanos;
        }
    }
}
