package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/** A model engine in virtual time that executes one order at a time and runs calls meanwhile. */
final class SimulatedEngine {

    static final int MODELS_IN_MEMORY = 2;
    static final int MODELS_ON_DISK = 18;
    private static final long MIN_ORDER_MILLIS = 60;

    /** As {@code RecentLoads} of the daemon. */
    private static final long RECENT_MILLIS = 700;

    private record RunningCall(ModelName model, long endMillis) {}

    final String mName;
    final Map<String, Set<String>> mLoaded = new HashMap<>();
    private final Map<String, Long> mLoadedAtMillis = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    private final EngineProfile mProfile;
    private final LinkedHashSet<String> mInMemory = new LinkedHashSet<>();
    private final LinkedHashSet<String> mOnDisk = new LinkedHashSet<>();
    private final List<RunningCall> mRunning = new ArrayList<>();
    private @Nullable PlannedOrder mOrder;
    private long mOrderedAtMillis;
    private long mOrderEndMillis;

    SimulatedEngine(String name, EngineProfile profile) {
        mName = name;
        mProfile = profile;
    }

    void addCopy(String model) {
        touch(mOnDisk, model, MODELS_ON_DISK);
    }

    void addLoaded(String model) {
        mLoaded.put(model, new HashSet<>());
        addCopy(model);
    }

    boolean hasLoaded(ModelName name) {
        Set<String> adapters = mLoaded.get(name.model());
        return adapters != null && name.adapter().map(adapters::contains).orElse(true);
    }

    void run(ModelName model, long endMillis) {
        mRunning.add(new RunningCall(model, endMillis));
    }

    int activeCalls() {
        return mRunning.size();
    }

    boolean loadsFromStore() {
        return mOrder != null && mOrder.fromStore();
    }

    void start(PlannedOrder order, long nowMillis) {
        if (mOrder != null) {
            mViolations.add(mName + " has an order already");
        }
        mOrder = order;
        mOrderedAtMillis = nowMillis;
        if (order.kind() == OrderKind.UNLOAD) {
            mOrderEndMillis = nowMillis + MIN_ORDER_MILLIS;
            if (order.adapter().isPresent()) {
                mLoaded.get(order.model()).remove(order.adapter().get());
            } else {
                mLoaded.remove(order.model());
            }
        } else if (order.adapter().isPresent()) {
            mOrderEndMillis = nowMillis + MIN_ORDER_MILLIS;
            int used = mLoaded.values().stream().mapToInt(Set::size).sum();
            if (used >= mProfile.adapterSlots()) {
                mViolations.add(mName + " has no slot for " + order.adapter().get());
            }
        } else {
            mOrderEndMillis = nowMillis + loadMillis(order.model());
            double used =
                    mLoaded.keySet().stream()
                            .mapToDouble(model -> profile(model).weightsMegabytes())
                            .sum();
            if (used + profile(order.model()).weightsMegabytes() > mProfile.weightsMegabytes()) {
                mViolations.add(mName + " has no memory for " + order.model() + " " + mLoaded);
            }
        }
    }

    /** Ends calls and the order whose time has come. */
    void advance(long nowMillis) {
        mRunning.removeIf(call -> call.endMillis() <= nowMillis);
        PlannedOrder order = mOrder;
        if (order == null || nowMillis < mOrderEndMillis) {
            return;
        }
        if (order.kind() == OrderKind.UNLOAD) {
            boolean inUse =
                    mRunning.stream()
                            .anyMatch(
                                    call ->
                                            call.model().model().equals(order.model())
                                                    && (order.adapter().isEmpty()
                                                            || call.model()
                                                                    .adapter()
                                                                    .equals(order.adapter())));
            if (inUse) {
                return;
            }
        } else if (order.adapter().isPresent()) {
            mLoaded.get(order.model()).add(order.adapter().get());
        } else {
            mLoaded.put(order.model(), new HashSet<>());
            mLoadedAtMillis.put(order.model(), nowMillis);
            touch(mInMemory, order.model(), MODELS_IN_MEMORY);
            touch(mOnDisk, order.model(), MODELS_ON_DISK);
        }
        mOrder = null;
    }

    EngineState state(long nowMillis) {
        Map<String, Integer> running = new HashMap<>();
        mRunning.forEach(call -> running.merge(call.model().model(), 1, Integer::sum));
        Duration busy = Duration.ZERO;
        Optional<String> loading = Optional.empty();
        PlannedOrder order = mOrder;
        if (order != null) {
            long left = mOrderedAtMillis + order.expectedDuration().toMillis() - nowMillis;
            busy = Duration.ofMillis(Math.max(1, left));
            loading = Optional.of(order.loadTarget());
        }
        Set<String> recent = new HashSet<>();
        mLoadedAtMillis.forEach(
                (model, at) -> {
                    if (nowMillis - at < RECENT_MILLIS) {
                        recent.add(model);
                    }
                });
        return new EngineState(
                mName,
                new FailureDomain("d"),
                new ServerModelState(0, order != null, mLoaded, mInMemory, mOnDisk),
                running,
                mRunning.size(),
                busy,
                loading,
                recent,
                UnconfirmedLoads.NONE);
    }

    private long loadMillis(String model) {
        ModelProfile profile = profile(model);
        if (mInMemory.contains(model)) {
            return profile.memoryLoadTime().toMillis();
        }
        return mOnDisk.contains(model)
                ? profile.diskLoadTime().toMillis()
                : profile.storeLoadTime().toMillis();
    }

    private ModelProfile profile(String model) {
        return Objects.requireNonNull(mProfile.models().get(model));
    }

    private static void touch(LinkedHashSet<String> copies, String model, int max) {
        copies.remove(model);
        copies.add(model);
        if (copies.size() > max) {
            copies.remove(copies.iterator().next());
        }
    }
}
