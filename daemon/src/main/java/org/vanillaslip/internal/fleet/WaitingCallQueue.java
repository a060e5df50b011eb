package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
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
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Queue of calls that wait for a server with the right model and a free request slot; used on the
 * decision loop only.
 */
public final class WaitingCallQueue {

    /** Request slots become free without an event, so the queue is checked at this interval. */
    private static final Duration TICK = Duration.ofMillis(25);

    /** By then another host reaches the lease holder, or a new one has acquired the lease. */
    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofMillis(1500);

    /** A server that starts is listed with its first heartbeat, so an earlier retry fails again. */
    private static final Duration LEAVING_RETRY_AFTER = Duration.ofMillis(1200);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    /** Part of its time that a call leaves for the answer of a server with a limit. */
    private static final double ANSWER_TIME_FRACTION = 0.25;

    /** Detail of refusals because of limits; {@code vanillaslip explain} recognizes it. */
    private static final String LIMITED_DETAIL = "all servers limit their requests";

    /** Detail of refusals because no server of a pool takes new calls. */
    private static final String LEAVING_DETAIL = "all servers leave";

    /** Detail of refusals because of pauses. */
    private static final String PAUSING_DETAIL = "all servers asked for a pause";

    private static final Comparator<WaitingCall> BY_PRIORITY_AND_AGE =
            Comparator.comparingInt(WaitingCall::priority)
                    .thenComparingLong(WaitingCall::enqueuedNanos);

    private final ServerSelector mSelector;
    private final DecisionLoop mLoop;
    private final int mMaxWaiting;
    private final Map<CallTarget, List<WaitingCall>> mWaiting = new HashMap<>();
    private Consumer<CallTarget> mOnModelMissing = target -> {};
    private BooleanSupplier mLeaseHolderReachable = () -> true;
    private int mCount;
    private boolean mTickScheduled;

    /** Creates an empty queue for at most the given number of calls. */
    public WaitingCallQueue(ServerSelector selector, DecisionLoop loop, int maxWaiting) {
        mSelector = selector;
        mLoop = loop;
        mMaxWaiting = maxWaiting;
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
        return mWaiting.getOrDefault(request.target(), List.of()).isEmpty()
                ? mSelector.reserveSlot(request)
                : Optional.empty();
    }

    private void awaitSlot(ServerRequest request, WaitBounds bounds, MonoSink<RequestSlot> sink) {
        List<WaitingCall> queue = mWaiting.get(request.target());
        if (queue == null || queue.isEmpty()) {
            Optional<RequestSlot> slot = mSelector.reserveSlot(request);
            if (slot.isPresent()) {
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
                                    LEAVING_DETAIL,
                                    LEAVING_RETRY_AFTER)));
            return;
        }
        if (mCount >= mMaxWaiting) {
            sink.error(
                    new RefusedException(
                            Refusal.retryable(
                                    ResultCode.QUEUE_FULL,
                                    request.target().pool(),
                                    MIN_RETRY_AFTER)));
            return;
        }
        WaitingCall call =
                new WaitingCall(
                        request,
                        bounds.priority(),
                        bounds.objectiveNanos(),
                        bounds.deadlineNanos(),
                        bounds.answerBegun(),
                        mLoop.clock().nowNanos(),
                        sink);
        List<WaitingCall> waiting =
                mWaiting.computeIfAbsent(request.target(), target -> new ArrayList<>());
        waiting.add(call);
        waiting.sort(BY_PRIORITY_AND_AGE);
        mCount++;
        sink.onCancel(() -> remove(call));
        if (request.target().model().isPresent() && isModelMissing(request.target())) {
            mOnModelMissing.accept(request.target());
        }
        refuseBeyondPauses(request.target());
        requestPermits(request.target(), mWaiting.getOrDefault(request.target(), List.of()));
        scheduleTick();
    }

    /** Assigns servers with free request slots to waiting calls. */
    public void dispatch() {
        for (CallTarget target : List.copyOf(mWaiting.keySet())) {
            dispatch(target);
        }
    }

    private void dispatch(CallTarget target) {
        List<WaitingCall> queue = mWaiting.getOrDefault(target, List.of());
        for (WaitingCall call : List.copyOf(queue)) {
            Optional<RequestSlot> slot = mSelector.reserveSlot(call.request());
            if (slot.isPresent()) {
                remove(call);
                call.sink().success(slot.get());
            } else if (call.request().failedServers().isEmpty()) {
                break;
            }
        }
        requestPermits(target, mWaiting.getOrDefault(target, List.of()));
    }

    private void requestPermits(CallTarget target, List<WaitingCall> queue) {
        if (!queue.isEmpty()) {
            WaitingCall first = queue.get(0);
            long latestSendNanos = first.deadlineNanos() - answerTimeNanos(first);
            mSelector.requestPermits(target, queue.size(), latestSendNanos);
        }
    }

    /** A call that is sent just before its deadline only costs the server a request. */
    private static long answerTimeNanos(WaitingCall call) {
        return (long) ((call.deadlineNanos() - call.enqueuedNanos()) * ANSWER_TIME_FRACTION);
    }

    /** Refuses the last calls of the queue that servers with a limit cannot take in time. */
    private void refuseBeyondLimits(CallTarget target) {
        Optional<LimitedCapacity> capacity = mSelector.limitedCapacity(target);
        if (capacity.isEmpty()) {
            return;
        }
        long now = mLoop.clock().nowNanos();
        int served = 0;
        for (WaitingCall call : List.copyOf(mWaiting.getOrDefault(target, List.of()))) {
            long sendTime = capacity.get().timeAfter(served);
            if (sendTime + answerTimeNanos(call) - call.deadlineNanos() > 0) {
                Duration retryAfter = Duration.ofNanos(sendTime - now);
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, retryAfter, LIMITED_DETAIL);
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
        for (WaitingCall call : List.copyOf(mWaiting.getOrDefault(target, List.of()))) {
            if (!call.answerBegun() && endNanos - call.deadlineNanos() >= 0) {
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, pause.get(), PAUSING_DETAIL);
            }
        }
    }

    /** Refuses the calls whose deadline is before the expected end of the load. */
    public void applyForecast(CallTarget target, Duration expected) {
        long readyAt = mLoop.clock().nowNanos() + expected.toNanos();
        for (WaitingCall call : List.copyOf(mWaiting.getOrDefault(target, List.of()))) {
            if (readyAt - call.deadlineNanos() > 0) {
                refuse(call, ResultCode.DEADLINE_UNREACHABLE, expected);
            }
        }
    }

    /** Refuses all calls that wait for the target, because no load can be planned for it. */
    public void refuseUnplanned(CallTarget target, Duration retryAfter) {
        for (WaitingCall call : List.copyOf(mWaiting.getOrDefault(target, List.of()))) {
            refuse(call, ResultCode.NO_BACKEND_SERVER, retryAfter);
        }
    }

    /** Refuses the calls that may crash servers because of the subject. */
    public void refuseCallsWith(String crashSubject, RefusedException refusal) {
        for (List<WaitingCall> queue : List.copyOf(mWaiting.values())) {
            for (WaitingCall call : List.copyOf(queue)) {
                if (call.request().crashSubjects().contains(crashSubject)) {
                    remove(call);
                    call.sink().error(refusal);
                }
            }
        }
    }

    /** Refuses all calls whose answer has not begun, because this host shuts down. */
    public void refuseUnanswered(Duration retryAfter) {
        for (List<WaitingCall> queue : List.copyOf(mWaiting.values())) {
            queue.stream()
                    .filter(call -> !call.answerBegun())
                    .toList()
                    .forEach(call -> refuse(call, ResultCode.HOST_STOPPING, retryAfter));
        }
    }

    /**
     * Returns the calls whose model is not loaded on any server in service, and those of other
     * targets that are asked for.
     */
    public Map<CallTarget, Collection<WaitingCall>> callsMissingModel(
            Predicate<CallTarget> others) {
        Map<CallTarget, Collection<WaitingCall>> missing = new HashMap<>();
        mWaiting.forEach(
                (target, queue) -> {
                    boolean missesModel = target.model().isPresent() && isModelMissing(target);
                    if (missesModel || others.test(target)) {
                        missing.put(target, List.copyOf(queue));
                    }
                });
        return missing;
    }

    /** Returns the number of waiting calls. */
    public int size() {
        return mCount;
    }

    private void refuse(WaitingCall call, ResultCode code, Duration retryAfter) {
        String detail = call.request().target().model().map(Object::toString).orElse("");
        refuse(call, code, retryAfter, detail);
    }

    private void refuse(WaitingCall call, ResultCode code, Duration retryAfter, String detail) {
        remove(call);
        Duration boundedRetryAfter =
                retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
        call.sink().error(new RefusedException(Refusal.retryable(code, detail, boundedRetryAfter)));
    }

    private void remove(WaitingCall call) {
        List<WaitingCall> queue = mWaiting.get(call.request().target());
        if (queue != null && queue.remove(call)) {
            mCount--;
            if (queue.isEmpty()) {
                mWaiting.remove(call.request().target());
            }
        }
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
        if (!mTickScheduled && mCount > 0) {
            mTickScheduled = true;
            mLoop.scheduler().schedule(this::tick, TICK.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        mTickScheduled = false;
        long now = mLoop.clock().nowNanos();
        for (List<WaitingCall> queue : List.copyOf(mWaiting.values())) {
            Iterator<WaitingCall> calls = List.copyOf(queue).iterator();
            while (calls.hasNext()) {
                WaitingCall call = calls.next();
                if (now - call.deadlineNanos() >= 0) {
                    refuse(call, ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
                } else if (cannotBeServed(call.request().target())) {
                    refuse(call, ResultCode.NO_BACKEND_SERVER, UNREACHABLE_RETRY_AFTER);
                } else if (cannotStart(call.request().target(), call.answerBegun())) {
                    refuse(call, ResultCode.NO_BACKEND_SERVER, LEAVING_RETRY_AFTER, LEAVING_DETAIL);
                }
            }
        }
        List.copyOf(mWaiting.keySet()).forEach(this::refuseBeyondPauses);
        List.copyOf(mWaiting.keySet()).forEach(this::refuseBeyondLimits);
        dispatch();
        scheduleTick();
    }
}
