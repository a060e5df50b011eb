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

/** Simulates one engine in virtual time; all times are in milliseconds. */
final class SimulatedEngine {

    private static final long UNLOAD_MILLIS = 40;

    private final String mName;
    private final Set<String> mLoaded = new HashSet<>();
    private final Set<String> mOnDisk;
    private final Map<String, List<Long>> mCallEndsMillis = new HashMap<>();
    private final Map<String, Long> mLastUseMillis = new HashMap<>();
    private Optional<PlannedOrder> mOrder = Optional.empty();
    private long mOrderEndMillis;

    SimulatedEngine(String name, Set<String> loaded, Set<String> onDisk) {
        mName = name;
        mLoaded.addAll(loaded);
        mOnDisk = new HashSet<>(onDisk);
    }

    String name() {
        return mName;
    }

    boolean hasLoaded(String model) {
        return mLoaded.contains(model);
    }

    int runningCalls() {
        return mCallEndsMillis.values().stream().mapToInt(List::size).sum();
    }

    long lastUseMillis(String model) {
        return mLastUseMillis.getOrDefault(model, 0L);
    }

    boolean isLoadingFromStore() {
        return mOrder.filter(PlannedOrder::fromStore).isPresent();
    }

    void startCall(String model, long now, long millis) {
        mCallEndsMillis.computeIfAbsent(model, name -> new ArrayList<>()).add(now + millis);
        mLastUseMillis.put(model, now);
    }

    /** Completes the calls and the order that have ended by the given time. */
    void advance(long now) {
        mCallEndsMillis.values().forEach(ends -> ends.removeIf(end -> end <= now));
        mCallEndsMillis.values().removeIf(List::isEmpty);
        mOrder.ifPresent(
                order -> {
                    boolean unload = order.kind() == OrderKind.UNLOAD;
                    boolean waitsForCalls = unload && mCallEndsMillis.containsKey(order.model());
                    if (now >= mOrderEndMillis && !waitsForCalls) {
                        if (!unload) {
                            mLoaded.add(order.model());
                            mOnDisk.add(order.model());
                            mLastUseMillis.put(order.model(), now);
                        }
                        mOrder = Optional.empty();
                    }
                });
    }

    void startOrder(PlannedOrder order, long now) {
        mOrder = Optional.of(order);
        if (order.kind() == OrderKind.UNLOAD) {
            mLoaded.remove(order.model());
            mOrderEndMillis = now + UNLOAD_MILLIS;
        } else {
            boolean onDisk = mOnDisk.contains(order.model());
            mOrderEndMillis =
                    now
                            + (onDisk
                                    ? LoadSimulation.DISK_LOAD_MILLIS
                                    : LoadSimulation.STORE_LOAD_MILLIS);
        }
    }

    EngineState state(long now) {
        Map<String, Set<String>> loaded = new HashMap<>();
        mLoaded.forEach(model -> loaded.put(model, Set.of()));
        Map<String, Integer> running = new HashMap<>();
        mCallEndsMillis.forEach((model, ends) -> running.put(model, ends.size()));
        Duration remaining =
                mOrder.isEmpty()
                        ? Duration.ZERO
                        : Duration.ofMillis(Math.max(1, mOrderEndMillis - now));
        return new EngineState(
                mName,
                new FailureDomain("d"),
                new ServerModelState(0, false, loaded, Set.of(), mOnDisk),
                running,
                runningCalls(),
                remaining,
                mOrder.map(PlannedOrder::loadTarget),
                Set.of(),
                UnconfirmedLoads.NONE);
    }
}
