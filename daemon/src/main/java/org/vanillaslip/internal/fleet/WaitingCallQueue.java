package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.settings.AdmissionSettings;
import org.vanillaslip.internal.settings.WaitingOrder;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Queue of calls that wait for a server with the right model and a free request slot; used on the
 * decision loop only.
 */
public final class WaitingCallQueue {

    /** Request slots become free without an event, so the queue is checked at this interval. */
    private static final Duration TICK = Duration.ofMillis(25);

    /** Waiting calls are checked at this interval for whether they can be served in time. */
    private static final Duration ESTIMATE_INTERVAL = Duration.ofMillis(100);

    /** By then another host reaches the lease holder, or a new one has acquired the lease. */
    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofMillis(1500);

    /** A server that starts is listed with its first heartbeat, so an earlier retry fails again. */
    private static final Duration LEAVING_RETRY_AFTER = Duration.ofMillis(1200);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    /** Detail of refusals because more urgent calls take all room until the deadline. */
    private static final String OUT_OF_REACH_DETAIL = "all servers are busy";

    private final ServerSelector mSelector;
    private final DecisionLoop mLoop;
    private final int mMaxWaiting;
    private final RankedCalls mRanked;
    private final WaitingCalls mWaiting = new WaitingCalls();
    private Consumer<CallTarget> mOnModelMissing = target -> {};
    private BooleanSupplier mLeaseHolderReachable = () -> true;
    private boolean mTickScheduled;
    private long mEstimatedAt = Long.MIN_VALUE / 2;

    /** Creates an empty queue that ranks calls and logs nothing. */
    WaitingCallQueue(ServerSelector selector, DecisionLoop loop, int max) {
        this(
                selector,
                loop,
                new AdmissionSettings(0, max, max, 0, Optional.empty(), WaitingOrder.RANK),
                result -> {},
                (event, fields) -> {});
    }

    /**
     * Creates an empty queue.
     *
     * @param rankedCallCounter counts calls that waited while calls were ranked, by result
     */
    public WaitingCallQueue(
            ServerSelector selector,
            DecisionLoop loop,
            AdmissionSettings admission,
            Consumer<String> rankedCallCounter,
            EventLog log) {
        mSelector = selector;
        mLoop = loop;
        mMaxWaiting = admission.maxWaitingRequests();
        RankedCallReports reports = new RankedCallReports(rankedCallCounter, log);
        mRanked = new RankedCalls(selector, admission.waitingOrder() == WaitingOrder.RANK, reports);
    }

    /** Sets the check for a reachable lease holder, without which no load can be ordered. */
    public void setLeaseHolderReachable(BooleanSupplier leaseHolderReachable) {
        mLeaseHolderReachable = leaseHolderReachable;
    }

    /** Registers a listener for calls whose model is not loaded on any server in service. */
    public void onModelMissing(Consumer<CallTarget> listener) {
        mOnModelMissing = listener;
    }

    /** Reserves a request slot as soon as there is one. */
    public Mono<RequestSlot> awaitSlot(ServerRequest request, WaitBounds bounds) {
        return Mono.create(sink -> awaitSlot(request, bounds, sink));
    }

    /** Reserves a request slot if there is one for which no call waits. */
    public Optional<RequestSlot> reserveNow(ServerRequest request) {
        return mWaiting.waitsFor(request.target())
                ? Optional.empty()
                : mSelector.reserveSlot(request);
    }

    private void awaitSlot(ServerRequest request, WaitBounds bounds, MonoSink<RequestSlot> sink) {
        if (!waitsBefore(request.target())) {
            Optional<RequestSlot> slot = mSelector.reserveSlot(request);
            if (slot.isPresent()) {
                mRanked.recordServedAtOnce(request.target(), bounds.profile(), now());
                sink.success(slot.get());
                return;
            }
        }
        if (cannotBeServed(request.target())) {
            sink.error(
                    new RefusedException(
                            Refusal.retryable(
                                    ResultCode.NO_BACKEND_SERVER,
                                    request.target().pool(),
                                    UNREACHABLE_RETRY_AFTER)));
            return;
        }
        if (cannotStart(request.target(), bounds.answerBegun())) {
            sink.error(
                    new RefusedException(
                            Refusal.retryable(
                                    ResultCode.NO_BACKEND_SERVER,
                                    RefusalDetail.LEAVING,
                                    LEAVING_RETRY_AFTER)));
            return;
        }
        if (mWaiting.size() >= mMaxWaiting && !mRanked.enabled()) {
            sink.error(
                    new RefusedException(
                            Refusal.retryable(
                                    ResultCode.QUEUE_FULL,
                                    request.target().pool(),
                                    MIN_RETRY_AFTER)));
            return;
        }
        WaitingCall call =
                new WaitingCall(request, mRanked.criteria(request.target(), bounds, now()), sink);
        mWaiting.add(call);
        sink.onCancel(() -> recordCallerLeft(call));
        if (mRanked.enabled() && mSelector.hasRoom(request.target())) {
            mRanked.dispatch(request.target().pool(), mWaiting, now());
        }
        if (mWaiting.size() > mMaxWaiting) {
            refuseLowest(call);
        }
        if (!mWaiting.contains(call)) {
            return;
        }
        if (request.target().model().isPresent() && isModelMissing(request.target())) {
            mOnModelMissing.accept(request.target());
        }
        refuseBeyondPauses(request.target());
        requestPermits(request.target());
        scheduleTick();
    }

    /**
     * Returns whether a call waits that a new call must not overtake: for the target or, where
     * calls are ranked, for a server of its pool.
     */
    private boolean waitsBefore(CallTarget target) {
        return mRanked.enabled() ? mWaiting.waitsFor(target.pool()) : mWaiting.waitsFor(target);
    }

    private void recordCallerLeft(WaitingCall call) {
        if (mWaiting.remove(call)) {
            mRanked.recordLost(call, false, now());
        }
    }

    /** Refuses the call of the lowest rank, whichever came last. */
    private void refuseLowest(WaitingCall added) {
        WaitingCall lowest = mRanked.lowest(mWaiting, added, now());
        if (!lowest.answerBegun()) {
            Duration retryAfter =
                    mRanked.expectedWait(lowest.target(), mWaiting.size(), now())
                            .orElse(MIN_RETRY_AFTER);
            refuse(lowest, ResultCode.QUEUE_FULL, retryAfter, lowest.target().pool());
        }
    }

    /** Refuses the calls that are clearly not served before their deadline. */
    private void refuseOutOfReach() {
        mRanked.sampleTurnover(mWaiting.targets(), now());
        for (String pool : mWaiting.pools()) {
            mRanked.outOfReach(pool, mWaiting, now())
                    .forEach(
                            (call, retryAfter) ->
                                    refuse(
                                            call,
                                            ResultCode.DEADLINE_UNREACHABLE,
                                            retryAfter,
                                            OUT_OF_REACH_DETAIL));
        }
    }

    /** Assigns servers with free request slots to waiting calls. */
    public void dispatch() {
        if (mRanked.enabled()) {
            mWaiting.pools().forEach(pool -> mRanked.dispatch(pool, mWaiting, now()));
            mWaiting.targets().forEach(this::requestPermits);
            return;
        }
        for (CallTarget target : mWaiting.targets()) {
            dispatch(target);
        }
    }

    private void dispatch(CallTarget target) {
        for (WaitingCall call : mWaiting.of(target)) {
            Optional<RequestSlot> slot = mSelector.reserveSlot(call.request());
            if (slot.isPresent()) {
                mWaiting.remove(call);
                call.sink().success(slot.get());
            } else if (call.request().failedServers().isEmpty()) {
                break;
            }
        }
        requestPermits(target);
    }

    private void requestPermits(CallTarget target) {
        List<WaitingCall> queue = mWaiting.of(target);
        if (!queue.isEmpty()) {
            WaitingCall first = queue.get(0);
            long latestSendNanos = first.deadlineNanos() - first.answerTimeNanos();
            mSelector.requestPermits(target, queue.size(), latestSendNanos);
        }
    }

    /** Refuses the last calls of the queue that servers with a limit cannot take in time. */
    private void refuseBeyondLimits(CallTarget target) {
        Optional<LimitedCapacity> capacity = mSelector.limitedCapacity(target);
        if (capacity.isEmpty()) {
            return;
        }
        long now = mLoop.clock().nowNanos();
        int served = 0;
        for (WaitingCall call : mWaiting.of(target)) {
            long sendTime = capacity.get().timeAfter(served);
            if (sendTime + call.answerTimeNanos() - call.deadlineNanos() > 0) {
                Duration retryAfter = Duration.ofNanos(sendTime - now);
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, retryAfter, RefusalDetail.LIMITED);
            } else {
                served++;
            }
        }
    }

    /** Refuses the calls whose time ends before the first server takes calls again. */
    private void refuseBeyondPauses(CallTarget target) {
        Optional<Duration> pause = mSelector.pauseOfAll(target);
        if (pause.isEmpty()) {
            return;
        }
        long endNanos = mLoop.clock().nowNanos() + pause.get().toNanos();
        for (WaitingCall call : mWaiting.of(target)) {
            if (!call.answerBegun() && endNanos - call.deadlineNanos() >= 0) {
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, pause.get(), RefusalDetail.PAUSING);
            }
        }
    }

    /** Refuses the calls whose deadline is before the expected end of the load. */
    public void applyForecast(CallTarget target, Duration expected) {
        long readyAt = mLoop.clock().nowNanos() + expected.toNanos();
        for (WaitingCall call : mWaiting.of(target)) {
            if (readyAt - call.deadlineNanos() > 0) {
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, expected);
            }
        }
    }

    /** Refuses all calls that wait for the target, because no load can be planned for it. */
    public void refuseUnplanned(CallTarget target, Duration retryAfter) {
        for (WaitingCall call : mWaiting.of(target)) {
            refuse(call, ResultCode.NO_BACKEND_SERVER, retryAfter);
        }
    }

    /** Refuses the calls that may crash servers because of the subject. */
    public void refuseCallsWith(String crashSubject, RefusedException refusal) {
        for (WaitingCall call : mWaiting.all()) {
            if (call.request().crashSubjects().contains(crashSubject)) {
                mWaiting.remove(call);
                call.sink().error(refusal);
            }
        }
    }

    /** Refuses all calls whose answer has not begun, because this host shuts down. */
    public void refuseUnanswered(Duration retryAfter) {
        mWaiting.all().stream()
                .filter(call -> !call.answerBegun())
                .forEach(call -> refuse(call, ResultCode.HOST_STOPPING, retryAfter));
    }

    /**
     * Returns the calls whose model is not loaded on any server in service, and those of other
     * targets that are asked for.
     */
    public Map<CallTarget, Collection<WaitingCall>> callsMissingModel(
            Predicate<CallTarget> others) {
        Map<CallTarget, Collection<WaitingCall>> missing = new HashMap<>();
        for (CallTarget target : mWaiting.targets()) {
            boolean missesModel = target.model().isPresent() && isModelMissing(target);
            if (missesModel || others.test(target)) {
                missing.put(target, mWaiting.of(target));
            }
        }
        return missing;
    }

    /** Returns the number of waiting calls. */
    public int size() {
        return mWaiting.size();
    }

    private void refuse(WaitingCall call, ResultCode code, Duration retryAfter) {
        String detail = call.target().model().map(Object::toString).orElse("");
        refuse(call, code, retryAfter, detail);
    }

    private void refuse(WaitingCall call, ResultCode code, Duration retryAfter, String detail) {
        if (mWaiting.remove(call)) {
            mRanked.recordLost(call, true, now());
        }
        Duration boundedRetryAfter =
                retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
        call.sink().error(new RefusedException(Refusal.retryable(code, detail, boundedRetryAfter)));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }

    /**
     * Returns whether this host reaches neither a server with the model nor a lease holder that
     * could order a load. Then this host is partitioned, or no host holds the lease.
     */
    private boolean cannotBeServed(CallTarget target) {
        return target.model().isPresent()
                && !mLeaseHolderReachable.getAsBoolean()
                && mSelector.serversWith(target).stream()
                        .allMatch(member -> member.health().failing());
    }

    /**
     * Returns whether no listed server will take the call. A call whose answer has begun cannot be
     * sent again by its caller, so it waits for a new server as long as it can.
     */
    private boolean cannotStart(CallTarget target, boolean answerBegun) {
        return !answerBegun && mSelector.allLeaving(target);
    }

    private boolean isModelMissing(CallTarget target) {
        return mSelector.serversWith(target).isEmpty();
    }

    private void scheduleTick() {
        if (!mTickScheduled && mWaiting.size() > 0) {
            mTickScheduled = true;
            mLoop.scheduler().schedule(this::tick, TICK.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        mTickScheduled = false;
        long now = mLoop.clock().nowNanos();
        for (WaitingCall call : mWaiting.all()) {
            if (now - call.deadlineNanos() >= 0) {
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
            } else if (cannotBeServed(call.target())) {
                refuse(call, ResultCode.NO_BACKEND_SERVER, UNREACHABLE_RETRY_AFTER);
            } else if (cannotStart(call.target(), call.answerBegun())) {
                refuse(
                        call,
                        ResultCode.NO_BACKEND_SERVER,
                        LEAVING_RETRY_AFTER,
                        RefusalDetail.LEAVING);
            }
        }
        mWaiting.targets().forEach(this::refuseBeyondPauses);
        mWaiting.targets().forEach(this::refuseBeyondLimits);
        dispatch();
        if (mRanked.enabled() && now - mEstimatedAt >= ESTIMATE_INTERVAL.toNanos()) {
            mEstimatedAt = now;
            refuseOutOfReach();
        }
        mRanked.forgetOrders(mWaiting);
        scheduleTick();
    }
}
