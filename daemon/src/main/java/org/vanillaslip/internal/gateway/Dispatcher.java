package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.queue.FairQueue;
import org.vanillaslip.internal.queue.QueueLimits;
import org.vanillaslip.internal.queue.WaitEstimate;
import org.vanillaslip.internal.routing.Candidate;
import org.vanillaslip.internal.routing.Choice;
import org.vanillaslip.internal.routing.ReplicaSelector;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Assigns waiting requests to backend servers. All state is confined to the decision loop. */
final class Dispatcher {

    /** Polling interval, because changes of slots and load reports raise no event. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private static final Duration SLOT_TIMEOUT = Duration.ofMillis(500);

    private final DecisionLoop mLoop;
    private final InFlightRequests mInFlight;
    private final SlowStartSlots mSlots;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final FairQueue mQueue;
    private final Map<String, DispatchEntry> mWaitingEntries = new HashMap<>();
    private final Map<String, WaitEstimate> mWaitEstimates = new HashMap<>();
    private final Map<String, Set<String>> mServersWithoutSlot = new HashMap<>();
    private final Set<String> mTargetsAcquiringSlot = new HashSet<>();
    private final Disposable mTickTask;
    private volatile int mWaitingCount;

    Dispatcher(
            DecisionLoop loop,
            InFlightRequests inFlight,
            SlowStartSlots slots,
            QueueLimits limits,
            RandomGenerator random,
            EventLog log) {
        mLoop = loop;
        mInFlight = inFlight;
        mSlots = slots;
        mRandom = random;
        mLog = log;
        mQueue = new FairQueue(limits);
        mTickTask =
                loop.scheduler()
                        .schedulePeriodically(
                                this::tick,
                                TICK_INTERVAL.toMillis(),
                                TICK_INTERVAL.toMillis(),
                                TimeUnit.MILLISECONDS);
    }

    /** Queues the entry and emits the replica that it may use until {@link #close}. */
    Mono<Replica> enqueue(DispatchEntry entry) {
        return Mono.defer(
                () -> {
                    mLoop.scheduler().schedule(() -> enqueueOnLoop(entry));
                    return entry.mReplicaSink.asMono();
                });
    }

    /** Removes the entry from the queue, or releases its slot. Later calls have no effect. */
    void close(DispatchEntry entry) {
        mLoop.scheduler().schedule(() -> closeOnLoop(entry));
    }

    /** Corrects the accounting of the fair queue to the tokens that the request used. */
    void correctCharge(DispatchEntry entry, long usedTokens) {
        mLoop.scheduler().schedule(() -> mQueue.correctCharge(entry.mRequest, usedTokens));
    }

    /** Refuses waiting requests that the new configuration forbids and dispatches the others. */
    void onConfiguration(Configuration configuration) {
        List.copyOf(mWaitingEntries.values())
                .forEach(
                        entry ->
                                entry.mRevalidate
                                        .apply(configuration)
                                        .ifPresent(refusal -> refuse(entry, refusal)));
        dispatchAll();
    }

    /** Dispatches waiting requests of all targets as far as servers have capacity. */
    void dispatchAll() {
        mQueue.waitingTargets().forEach(this::dispatch);
    }

    /** Refuses all waiting requests that match the condition. */
    void refuseAll(Predicate<DispatchEntry> condition, Refusal refusal) {
        List.copyOf(mWaitingEntries.values()).stream()
                .filter(condition)
                .forEach(entry -> refuse(entry, refusal));
    }

    /** Returns the number of waiting requests. */
    int waitingCount() {
        return mWaitingCount;
    }

    void dispose() {
        mTickTask.dispose();
    }

    private void enqueueOnLoop(DispatchEntry entry) {
        if (entry.mClosed) {
            return;
        }
        Either<Refusal, ?> queued =
                mQueue.offer(entry.mRequest, estimatedWait(entry), mLoop.clock().nowNanos());
        if (queued.isLeft()) {
            entry.mClosed = true;
            entry.mReplicaSink.tryEmitError(new RefusedException(queued.getLeft()));
            return;
        }
        mWaitingEntries.put(entry.mRequest.id(), entry);
        mWaitingCount = mWaitingEntries.size();
        dispatch(entry.mTarget.name());
        activateIfNeeded(entry);
    }

    private Duration estimatedWait(DispatchEntry entry) {
        List<Candidate> candidates = usableCandidates(entry);
        int requestSlots =
                candidates.stream()
                        .mapToInt(candidate -> candidate.server().slowStart().fullConcurrency())
                        .sum();
        int usedSlots = candidates.stream().mapToInt(Candidate::ownInFlight).sum();
        return mWaitEstimates
                .computeIfAbsent(entry.mTarget.name(), name -> new WaitEstimate())
                .waitBehind(
                        mQueue.requestsAhead(
                                entry.mTarget.name(), entry.mRequest.caller().accountedWorkspace()),
                        Math.max(0, requestSlots - usedSlots),
                        requestSlots);
    }

    private List<Candidate> usableCandidates(DispatchEntry entry) {
        return mInFlight.candidates(entry.mTarget.replicas().get(), entry.mExcludedServers).stream()
                .filter(candidate -> !candidate.excluded())
                .toList();
    }

    private void dispatch(String target) {
        while (!mTargetsAcquiringSlot.contains(target)) {
            DispatchEntry head =
                    mQueue.peek(target)
                            .map(request -> mWaitingEntries.get(request.id()))
                            .orElse(null);
            if (head == null) {
                return;
            }
            Set<String> excludedServers = new HashSet<>(head.mExcludedServers);
            excludedServers.addAll(mServersWithoutSlot.getOrDefault(target, Set.of()));
            List<Replica> replicas = head.mTarget.replicas().get();
            Optional<Choice> choice =
                    ReplicaSelector.choose(
                            mInFlight.candidates(replicas, excludedServers),
                            head.mPrefixHash,
                            mRandom);
            if (choice.isEmpty()) {
                return;
            }
            Replica replica = replicaOf(replicas, choice.get());
            if (choice.get().candidate().needsSlowStartSlot()) {
                acquireSlot(target, head, replica, choice.get());
            } else {
                grant(head, replica, () -> {}, choice.get());
            }
        }
    }

    private static Replica replicaOf(List<Replica> replicas, Choice choice) {
        return replicas.stream()
                .filter(
                        replica ->
                                replica.server().name().equals(choice.candidate().server().name()))
                .findFirst()
                .orElseThrow();
    }

    private void acquireSlot(String target, DispatchEntry entry, Replica replica, Choice choice) {
        mTargetsAcquiringSlot.add(target);
        mSlots.acquire(replica, SLOT_TIMEOUT)
                .onErrorReturn(Optional.empty())
                .defaultIfEmpty(Optional.empty())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        slot -> {
                            mTargetsAcquiringSlot.remove(target);
                            if (slot.isPresent() && entry.isWaiting()) {
                                grant(entry, replica, slot.get(), choice);
                            } else if (slot.isPresent()) {
                                slot.get().release();
                            } else {
                                mServersWithoutSlot
                                        .computeIfAbsent(target, name -> new HashSet<>())
                                        .add(replica.server().name());
                            }
                            dispatch(target);
                        });
    }

    private void grant(DispatchEntry entry, Replica replica, Slot slot, Choice choice) {
        mQueue.serve(entry.mRequest);
        mWaitingEntries.remove(entry.mRequest.id());
        mWaitingCount = mWaitingEntries.size();
        mInFlight.adjust(replica.server().name(), 1);
        entry.mGrantedReplica = replica;
        entry.mSlot = slot;
        entry.mGrantedAtNanos = mLoop.clock().nowNanos();
        mLog.log(
                RequestEvent.SERVER_CHOSEN,
                LogField.field("request", entry.mRequest.id()),
                LogField.field("target", entry.mTarget.name()),
                LogField.field("workspace", entry.mRequest.caller().accountedWorkspace().name()),
                LogField.field("server", replica.server().name()),
                LogField.field("failure_domain", replica.server().failureDomain().name()),
                LogField.field("incarnation", replica.incarnation()),
                LogField.field("reason", choice.reason()),
                LogField.field("load", choice.candidate().load()));
        if (entry.mReplicaSink.tryEmitValue(replica).isFailure()) {
            closeOnLoop(entry);
        }
    }

    private void closeOnLoop(DispatchEntry entry) {
        if (entry.mClosed) {
            return;
        }
        entry.mClosed = true;
        // A retry has the same request id and may already be waiting when the first try is closed.
        mWaitingEntries.remove(entry.mRequest.id(), entry);
        mWaitingCount = mWaitingEntries.size();
        Replica replica = entry.mGrantedReplica;
        if (replica == null) {
            mQueue.remove(entry.mRequest.id());
            withdrawActivationIfLast(entry.mTarget);
            return;
        }
        mInFlight.adjust(replica.server().name(), -1);
        if (entry.mSlot != null) {
            entry.mSlot.release();
        }
        mWaitEstimates
                .computeIfAbsent(entry.mTarget.name(), name -> new WaitEstimate())
                .recordServiceTime(mLoop.clock().nowNanos() - entry.mGrantedAtNanos);
        dispatchAll();
    }

    // Without this, a server would later load a model for requests that no longer exist.
    private void withdrawActivationIfLast(Target target) {
        boolean othersWaiting =
                mWaitingEntries.values().stream()
                        .anyMatch(other -> other.mTarget.name().equals(target.name()));
        if (!othersWaiting) {
            target.withdraw().run();
        }
    }

    private void refuse(DispatchEntry entry, Refusal refusal) {
        if (entry.isWaiting()) {
            closeOnLoop(entry);
            entry.mReplicaSink.tryEmitError(new RefusedException(refusal));
        }
    }

    private void activateIfNeeded(DispatchEntry entry) {
        long now = mLoop.clock().nowNanos();
        boolean expectsReplica =
                entry.mExpectedReadyNanos != Long.MIN_VALUE && entry.mExpectedReadyNanos - now > 0;
        if (!entry.isWaiting()
                || entry.mActivating
                || expectsReplica
                || !usableCandidates(entry).isEmpty()) {
            return;
        }
        entry.mActivating = true;
        Duration timeToDeadline = Duration.ofNanos(entry.mRequest.deadlineNanos() - now);
        Refusal noBackendServer =
                Refusal.retryable(
                        ResultCode.NO_BACKEND_SERVER, entry.mTarget.name(), Duration.ofSeconds(1));
        entry.mTarget
                .activate()
                .apply(timeToDeadline)
                .onErrorReturn(Either.left(noBackendServer))
                .defaultIfEmpty(Either.left(noBackendServer))
                .publishOn(mLoop.scheduler())
                .subscribe(result -> onActivation(entry, result));
    }

    private void onActivation(DispatchEntry entry, Either<Refusal, Duration> result) {
        entry.mActivating = false;
        if (result.isLeft()) {
            refuse(entry, result.getLeft());
            return;
        }
        long now = mLoop.clock().nowNanos();
        entry.mExpectedReadyNanos = now + Math.max(result.get().toNanos(), TICK_INTERVAL.toNanos());
        FairQueue.checkDeadline(entry.mRequest, result.get(), now)
                .ifPresent(refusal -> refuse(entry, refusal));
        dispatch(entry.mTarget.name());
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        // Refuses one tick early, so that no request waits past its deadline.
        List.copyOf(mWaitingEntries.values()).stream()
                .filter(entry -> entry.mRequest.deadlineNanos() - now <= TICK_INTERVAL.toNanos())
                .forEach(
                        entry ->
                                refuse(
                                        entry,
                                        Refusal.retryable(
                                                ResultCode.DEADLINE_UNREACHABLE,
                                                entry.mTarget.name(),
                                                Duration.ofSeconds(1))));
        mServersWithoutSlot.clear();
        List.copyOf(mWaitingEntries.values()).forEach(this::activateIfNeeded);
        dispatchAll();
    }
}
