package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.internal.queue.CallProfile;
import org.vanillaslip.internal.queue.CallRanking;
import org.vanillaslip.internal.queue.RankPosition;
import org.vanillaslip.internal.queue.RankedCall;
import org.vanillaslip.internal.queue.ReturningCalls;
import org.vanillaslip.internal.queue.RoomEstimate;
import org.vanillaslip.internal.queue.ServiceFloors;
import org.vanillaslip.internal.queue.SlotTurnover;

/**
 * Ranks the waiting calls of each pool, whose targets share servers, and finds those that cannot be
 * served in time; used on the decision loop only.
 */
final class RankedCalls {

    /** A longer wait is not known well enough to be promised to a caller. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    /** Sorting a full queue for each new call would take most of a core under overload. */
    private static final long ORDER_VALID_NANOS = Duration.ofMillis(25).toNanos();

    /** More calls than arrive while the order of the lowest calls is used. */
    private static final int MAX_LOWEST = 200;

    private final ServerSelector mSelector;
    private final boolean mAllowed;
    private final RankedCallReports mReports;
    private final Map<String, CallRanking> mRankings = new HashMap<>();
    private final SlotTurnover mTurnover = new SlotTurnover();
    private final Map<String, Ordered> mOrders = new HashMap<>();
    private final Deque<RankPosition<WaitingCall>> mLowest = new ArrayDeque<>();
    private ServiceFloors mFloors = new ServiceFloors();
    private ReturningCalls mReturning = new ReturningCalls();
    private long mLowestFoundAt;
    private boolean mUsed;

    /**
     * Creates a ranking without calls.
     *
     * @param allowed whether the settings ask for it; otherwise no call is ranked
     */
    RankedCalls(ServerSelector selector, boolean allowed, RankedCallReports reports) {
        mSelector = selector;
        mAllowed = allowed;
        mReports = reports;
    }

    /** Returns whether calls are ranked; without priorities all state is dropped. */
    boolean enabled() {
        boolean enabled = mAllowed && mSelector.ranksCalls();
        if (!enabled && mUsed) {
            mRankings.clear();
            mOrders.clear();
            mFloors = new ServiceFloors();
            mReturning = new ReturningCalls();
            mLowest.clear();
        }
        if (enabled != mUsed) {
            mReports.recordRanking(enabled);
        }
        mUsed = enabled;
        return enabled;
    }

    /** Returns the criteria of a call that starts to wait. */
    RankedCall criteria(CallTarget target, WaitBounds bounds, long nowNanos) {
        boolean returned = enabled() && mReturning.recordReturn(bounds.profile(), nowNanos);
        if (returned) {
            mReports.recordReturned();
        }
        return new RankedCall(
                bounds.priority(),
                bounds.answerBegun(),
                returned,
                bounds.profile(),
                name(target),
                nowNanos,
                bounds.objectiveNanos(),
                bounds.deadlineNanos());
    }

    /** Records a call that got a server without waiting. */
    void recordServedAtOnce(CallTarget target, CallProfile profile, long nowNanos) {
        if (enabled()) {
            mFloors.recordServed(profile, name(target), nowNanos);
        }
    }

    private void recordServed(RankPosition<WaitingCall> position, long nowNanos) {
        WaitingCall call = position.call();
        RankedCall criteria = call.criteria();
        mReports.recordServed(position);
        mFloors.recordServed(criteria.profile(), criteria.target(), nowNanos);
        ranking(call.target().pool()).recordServed(criteria);
    }

    /** Records a call that ended without a server. */
    void recordLost(WaitingCall call, boolean refused, long nowNanos) {
        if (!enabled()) {
            return;
        }
        RankedCall criteria = call.criteria();
        mFloors.recordLost(criteria.profile(), criteria.target(), nowNanos);
        if (refused && !criteria.answerBegun()) {
            mReturning.recordRefused(criteria.profile(), nowNanos);
        }
    }

    /** Assigns free request slots to the calls of a pool in the order of their rank. */
    void dispatch(String pool, WaitingCalls waiting, long nowNanos) {
        if (waiting.targets().stream().noneMatch(target -> hasRoom(pool, target))) {
            return;
        }
        Set<CallTarget> withoutRoom = new HashSet<>();
        for (RankPosition<WaitingCall> position : order(pool, waiting, nowNanos)) {
            WaitingCall call = position.call();
            if (withoutRoom.contains(call.target()) || !waiting.contains(call)) {
                continue;
            }
            Optional<RequestSlot> slot = mSelector.reserveSlot(call.request());
            if (slot.isPresent()) {
                waiting.remove(call);
                recordServed(position, nowNanos);
                call.sink().success(slot.get());
            } else if (call.request().failedServers().isEmpty()) {
                withoutRoom.add(call.target());
            }
        }
    }

    private boolean hasRoom(String pool, CallTarget target) {
        return target.pool().equals(pool) && mSelector.hasRoom(target);
    }

    /** Returns the calls of a pool in the order in which they are served. */
    private List<RankPosition<WaitingCall>> order(
            String pool, WaitingCalls waiting, long nowNanos) {
        Map<CallTarget, Boolean> servable = new HashMap<>();
        List<RankPosition<WaitingCall>> order =
                ranking(pool)
                        .order(
                                waiting.of(pool),
                                WaitingCall::criteria,
                                call ->
                                        servable.computeIfAbsent(
                                                call.target(),
                                                target -> !mSelector.serversWith(target).isEmpty()),
                                nowNanos);
        mOrders.put(pool, new Ordered(order, nowNanos));
        return order;
    }

    /** Returns the last order of a pool without calls that no longer wait, if it is recent. */
    private List<RankPosition<WaitingCall>> recentOrder(
            String pool, WaitingCalls waiting, long nowNanos) {
        Ordered last = mOrders.get(pool);
        return last == null || nowNanos - last.nanos() >= ORDER_VALID_NANOS
                ? order(pool, waiting, nowNanos)
                : last.calls().stream()
                        .filter(position -> waiting.contains(position.call()))
                        .toList();
    }

    /** Samples the turnover of the servers that calls wait for. */
    void sampleTurnover(Collection<CallTarget> targets, long nowNanos) {
        Map<String, FleetMember> servers = new HashMap<>();
        targets.forEach(
                target ->
                        mSelector
                                .serversWith(target)
                                .forEach(server -> servers.put(server.startId(), server)));
        servers.forEach(
                (id, server) ->
                        mTurnover.sample(id, server.endedCalls(), server.ownCalls(), nowNanos));
        mTurnover.prune(nowNanos);
    }

    /** Returns the calls that are clearly not served in time, with the time until room comes. */
    Map<WaitingCall, Duration> outOfReach(String pool, WaitingCalls waiting, long nowNanos) {
        Map<WaitingCall, Duration> outOfReach = new LinkedHashMap<>();
        CallsAhead ahead = new CallsAhead(nowNanos);
        for (RankPosition<WaitingCall> position : recentOrder(pool, waiting, nowNanos)) {
            WaitingCall call = position.call();
            Optional<RoomEstimate> estimate = ahead.estimate(call.target());
            int callsAhead = ahead.count(call.target());
            Duration timeLeft = Duration.ofNanos(call.deadlineNanos() - nowNanos);
            if (!call.answerBegun()
                    && !position.lifted()
                    && estimate.isPresent()
                    && estimate.get().isOutOfReach(callsAhead, timeLeft)) {
                mReports.recordOutOfReach(position, callsAhead, timeLeft, estimate.get());
                outOfReach.put(call, bounded(estimate.get().waitBehind(callsAhead)));
            } else {
                ahead.add(call.target());
            }
        }
        return outOfReach;
    }

    /** Returns when a call that is refused because the queue is full is likely to find room. */
    Optional<Duration> expectedWait(CallTarget target, int callsAhead, long nowNanos) {
        return mTurnover
                .estimate(serverIds(target), nowNanos)
                .map(estimate -> bounded(estimate.waitBehind(callsAhead)));
    }

    /**
     * Returns the call that is refused because the queue is full: the new one or a waiting one.
     *
     * @param waiting all waiting calls, the new one included
     */
    WaitingCall lowest(WaitingCalls waiting, WaitingCall added, long nowNanos) {
        boolean renewed = false;
        while (true) {
            if (mLowest.isEmpty() || nowNanos - mLowestFoundAt >= ORDER_VALID_NANOS) {
                if (renewed) {
                    return added;
                }
                findLowest(waiting, nowNanos);
                renewed = true;
                continue;
            }
            RankPosition<WaitingCall> lowest = mLowest.getFirst();
            if (!waiting.contains(lowest.call())) {
                mLowest.removeFirst();
            } else if (lowest.level() < added.priority() && !added.answerBegun()) {
                return added;
            } else {
                mLowest.removeFirst();
                if (lowest.call() != added) {
                    mReports.recordDisplaced(lowest.call(), added);
                }
                return lowest.call();
            }
        }
    }

    private void findLowest(WaitingCalls waiting, long nowNanos) {
        List<RankPosition<WaitingCall>> lowestFirst = new ArrayList<>();
        for (String pool : waiting.pools()) {
            List<RankPosition<WaitingCall>> order = recentOrder(pool, waiting, nowNanos);
            for (int index = order.size() - 1; index >= 0; index--) {
                if (!order.get(index).call().answerBegun()) {
                    lowestFirst.add(order.get(index));
                }
            }
        }
        // The sort is stable, so calls of one pool and level stay in the reverse order of rank.
        lowestFirst.sort(
                Comparator.<RankPosition<WaitingCall>>comparingInt(
                                position -> position.lifted() ? 1 : 0)
                        .thenComparingInt(position -> -position.level()));
        mLowest.clear();
        mLowest.addAll(lowestFirst.subList(0, Math.min(lowestFirst.size(), MAX_LOWEST)));
        mLowestFoundAt = nowNanos;
    }

    /** Forgets the orders of pools for which no call waits, which would keep their calls. */
    void forgetOrders(WaitingCalls waiting) {
        mOrders.keySet().removeIf(pool -> !waiting.waitsFor(pool));
        if (waiting.size() == 0) {
            mLowest.clear();
        }
    }

    private CallRanking ranking(String pool) {
        return mRankings.computeIfAbsent(pool, name -> new CallRanking(mFloors));
    }

    private Set<String> serverIds(CallTarget target) {
        return mSelector.serversWith(target).stream()
                .map(FleetMember::startId)
                .collect(Collectors.toSet());
    }

    private static Duration bounded(Duration wait) {
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private static String name(CallTarget target) {
        return target.pool() + "/" + target.model().map(Object::toString).orElse("");
    }

    /** The order of a pool's calls at a time. */
    private record Ordered(List<RankPosition<WaitingCall>> calls, long nanos) {}

    /** Calls of higher rank that can use no other servers than those of a target. */
    private final class CallsAhead {
        private final Map<CallTarget, Integer> mCounts = new HashMap<>();
        private final Map<CallTarget, Set<String>> mServers = new HashMap<>();
        private final Map<CallTarget, Optional<RoomEstimate>> mEstimates = new HashMap<>();
        private final long mNowNanos;

        CallsAhead(long nowNanos) {
            mNowNanos = nowNanos;
        }

        Optional<RoomEstimate> estimate(CallTarget target) {
            return mEstimates.computeIfAbsent(
                    target,
                    name ->
                            servers(name).isEmpty()
                                            || mSelector.hasRoom(name)
                                            || !mSelector.isCapacitySteady(name)
                                    ? Optional.empty()
                                    : mTurnover.estimate(servers(name), mNowNanos));
        }

        int count(CallTarget target) {
            Set<String> servers = servers(target);
            int count = 0;
            for (Map.Entry<CallTarget, Integer> other : mCounts.entrySet()) {
                if (other.getKey().equals(target) || servers.containsAll(servers(other.getKey()))) {
                    count += other.getValue();
                }
            }
            return count;
        }

        void add(CallTarget target) {
            if (!servers(target).isEmpty()) {
                mCounts.merge(target, 1, Integer::sum);
            }
        }

        private Set<String> servers(CallTarget target) {
            return mServers.computeIfAbsent(target, RankedCalls.this::serverIds);
        }
    }
}
