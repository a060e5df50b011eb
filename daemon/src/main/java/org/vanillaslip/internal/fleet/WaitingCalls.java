package org.vanillaslip.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Calls that wait for a server, by target; used on the decision loop only. */
final class WaitingCalls {

    private static final Comparator<WaitingCall> BY_PRIORITY_AND_AGE =
            Comparator.comparingInt(WaitingCall::priority)
                    .thenComparingLong(WaitingCall::enqueuedNanos);

    private final Map<CallTarget, List<WaitingCall>> mByTarget = new HashMap<>();
    private int mCount;

    /** Adds a call behind those of the same priority. */
    void add(WaitingCall call) {
        List<WaitingCall> calls =
                mByTarget.computeIfAbsent(call.target(), target -> new ArrayList<>());
        calls.add(call);
        calls.sort(BY_PRIORITY_AND_AGE);
        mCount++;
    }

    /** Removes a call and returns whether it was waiting. */
    boolean remove(WaitingCall call) {
        List<WaitingCall> calls = mByTarget.getOrDefault(call.target(), List.of());
        if (!calls.contains(call)) {
            return false;
        }
        calls.remove(call);
        mCount--;
        if (calls.isEmpty()) {
            mByTarget.remove(call.target());
        }
        return true;
    }

    boolean contains(WaitingCall call) {
        return mByTarget.getOrDefault(call.target(), List.of()).contains(call);
    }

    /** Returns whether a call waits for the target. */
    boolean waitsFor(CallTarget target) {
        return mByTarget.containsKey(target);
    }

    /** Returns whether a call waits for a server of the pool. */
    boolean waitsFor(String pool) {
        return mByTarget.keySet().stream().anyMatch(target -> target.pool().equals(pool));
    }

    /** Returns a copy of the calls for the target, by priority and age. */
    List<WaitingCall> of(CallTarget target) {
        return List.copyOf(mByTarget.getOrDefault(target, List.of()));
    }

    /** Returns a copy of the calls for servers of the pool. */
    List<WaitingCall> of(String pool) {
        List<WaitingCall> ofPool = new ArrayList<>();
        mByTarget.forEach(
                (target, calls) -> {
                    if (target.pool().equals(pool)) {
                        ofPool.addAll(calls);
                    }
                });
        return ofPool;
    }

    /** Returns a copy of all calls. */
    List<WaitingCall> all() {
        return mByTarget.values().stream().flatMap(Collection::stream).toList();
    }

    /** Returns a copy of the targets that calls wait for. */
    List<CallTarget> targets() {
        return List.copyOf(mByTarget.keySet());
    }

    /** Returns the pools that calls wait for. */
    List<String> pools() {
        return mByTarget.keySet().stream().map(CallTarget::pool).distinct().toList();
    }

    int size() {
        return mCount;
    }
}
