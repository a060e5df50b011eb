package org.vanillaslip.internal.proofs.loads;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.fleet.EngineState;
import org.vanillaslip.internal.fleet.OrderKind;
import org.vanillaslip.internal.fleet.PlannedOrder;
import org.vanillaslip.internal.fleet.ServerModelState;
import org.vanillaslip.internal.fleet.UnconfirmedLoads;

/** One engine in virtual time; times in milliseconds. */
final class SimulatedEngine {

    private static final long UNLOAD_MILLIS = 40;

    private final String mName;
    private final Set<String> mLoaded = new HashSet<>();
    private final Set<String> mDisk;
    private final Map<String, List<Long>> mRunning = new HashMap<>();
    private final Map<String, Long> mLastUse = new HashMap<>();
    private Optional<PlannedOrder> mOrder = Optional.empty();
    private long mBusyUntil;

    SimulatedEngine(String name, Set<String> loaded, Set<String> disk) {
        mName = name;
        mLoaded.addAll(loaded);
        mDisk = new HashSet<>(disk);
    }

    String name() {
        return mName;
    }

    boolean holds(String model) {
        return mLoaded.contains(model);
    }

    int inUse() {
        return mRunning.values().stream().mapToInt(List::size).sum();
    }

    long lastUse(String model) {
        return mLastUse.getOrDefault(model, 0L);
    }

    boolean loadsFromStore() {
        return mOrder.filter(PlannedOrder::fromStore).isPresent();
    }

    void run(String model, long now, long millis) {
        mRunning.computeIfAbsent(model, name -> new ArrayList<>()).add(now + millis);
        mLastUse.put(model, now);
    }

    /** Ends calls and orders that are over. */
    void advance(long now) {
        mRunning.values().forEach(ends -> ends.removeIf(end -> end <= now));
        mRunning.values().removeIf(List::isEmpty);
        mOrder.ifPresent(
                order -> {
                    boolean unload = order.kind() == OrderKind.UNLOAD;
                    boolean waits = unload && mRunning.containsKey(order.model());
                    if (now >= mBusyUntil && !waits) {
                        if (!unload) {
                            mLoaded.add(order.model());
                            mDisk.add(order.model());
                            mLastUse.put(order.model(), now);
                        }
                        mOrder = Optional.empty();
                    }
                });
    }

    void take(PlannedOrder order, long now) {
        mOrder = Optional.of(order);
        if (order.kind() == OrderKind.UNLOAD) {
            mLoaded.remove(order.model());
            mBusyUntil = now + UNLOAD_MILLIS;
        } else {
            boolean disk = mDisk.contains(order.model());
            mBusyUntil = now + (disk ? LoadSimulation.DISK_MILLIS : LoadSimulation.STORE_MILLIS);
        }
    }

    EngineState state(long now) {
        Map<String, Set<String>> loaded = new HashMap<>();
        mLoaded.forEach(model -> loaded.put(model, Set.of()));
        Map<String, Integer> running = new HashMap<>();
        mRunning.forEach((model, ends) -> running.put(model, ends.size()));
        Duration busy =
                mOrder.isEmpty() ? Duration.ZERO : Duration.ofMillis(Math.max(1, mBusyUntil - now));
        return new EngineState(
                mName,
                new FailureDomain("d"),
                new ServerModelState(0, false, loaded, Set.of(), mDisk),
                running,
                inUse(),
                busy,
                mOrder.map(PlannedOrder::loadTarget),
                Set.of(),
                UnconfirmedLoads.NONE);
    }
}
