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

/** Brings waiting requests and backend servers together, on the decision loop. */
final class Dispatcher {

    /** Waiting requests are looked at this often; slots and reports change without an event. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private static final Duration SLOT_TIMEOUT = Duration.ofMillis(500);

    private final DecisionLoop mLoop;
    private final InFlightRequests mInFlight;
    private final SlowStartSlots mSlots;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final FairQueue mQueue;
    private final Map<String, DispatchEntry> mWaiting = new HashMap<>();
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

    /** Queues the ticket; returns the replica that it may use until {@link #close}. */
    Mono<Replica> enqueue(DispatchEntry ticket) {
        return Mono.defer(
                () -> {
                    mLoop.scheduler().schedule(() -> enqueueOnLoop(ticket));
                    return ticket.mReplicaSink.asMono();
                });
    }

    /** Takes the ticket out of the queue, or gives its place back. Later calls have no effect. */
    void close(DispatchEntry ticket) {
        mLoop.scheduler().schedule(() -> closeOnLoop(ticket));
    }

    /** Corrects the fair share of a workspace by what the request really used. */
    void correctCharge(DispatchEntry ticket, long usedTokens) {
        mLoop.scheduler().schedule(() -> mQueue.correctCharge(ticket.mRequest, usedTokens));
    }

    /** Refuses what the new configuration forbids and serves what it permits. */
    void onConfiguration(Configuration configuration) {
        List.copyOf(mWaiting.values())
                .forEach(
                        ticket ->
                                ticket.mRevalidate
                                        .apply(configuration)
                                        .ifPresent(refusal -> refuse(ticket, refusal)));
        dispatchAll();
    }

    /** Serves waiting requests after a change of replicas. */
    void dispatchAll() {
        mQueue.waitingTargets().forEach(this::dispatch);
    }

    /** Refuses all waiting requests that match. */
    void refuseAll(Predicate<DispatchEntry> condition, Refusal refusal) {
        List.copyOf(mWaiting.values()).stream()
                .filter(condition)
                .forEach(ticket -> refuse(ticket, refusal));
    }

    /** Returns the number of waiting requests. */
    int waitingCount() {
        return mWaitingCount;
    }

    void dispose() {
        mTickTask.dispose();
    }

    private void enqueueOnLoop(DispatchEntry ticket) {
        if (ticket.mClosed) {
            return;
        }
        Either<Refusal, ?> queued =
                mQueue.offer(ticket.mRequest, estimatedWait(ticket), mLoop.clock().nowNanos());
        if (queued.isLeft()) {
            ticket.mClosed = true;
            ticket.mReplicaSink.tryEmitError(new RefusedException(queued.getLeft()));
            return;
        }
        mWaiting.put(ticket.mRequest.id(), ticket);
        mWaitingCount = mWaiting.size();
        dispatch(ticket.mTarget.name());
        activateIfNeeded(ticket);
    }

    private Duration estimatedWait(DispatchEntry ticket) {
        List<Candidate> usable = usableCandidates(ticket);
        int places =
                usable.stream()
                        .mapToInt(candidate -> candidate.server().slowStart().fullConcurrency())
                        .sum();
        int taken = usable.stream().mapToInt(Candidate::ownInFlight).sum();
        return mWaitEstimates
                .computeIfAbsent(ticket.mTarget.name(), name -> new WaitEstimate())
                .waitBehind(
                        mQueue.requestsAhead(
                                ticket.mTarget.name(),
                                ticket.mRequest.caller().accountedWorkspace()),
                        Math.max(0, places - taken),
                        places);
    }

    private List<Candidate> usableCandidates(DispatchEntry ticket) {
        return mInFlight
                .candidates(ticket.mTarget.replicas().get(), ticket.mExcludedServers)
                .stream()
                .filter(candidate -> !candidate.excluded())
                .toList();
    }

    private void dispatch(String target) {
        while (!mTargetsAcquiringSlot.contains(target)) {
            DispatchEntry next =
                    mQueue.peek(target).map(head -> mWaiting.get(head.id())).orElse(null);
            if (next == null) {
                return;
            }
            Set<String> excluded = new HashSet<>(next.mExcludedServers);
            excluded.addAll(mServersWithoutSlot.getOrDefault(target, Set.of()));
            List<Replica> replicas = next.mTarget.replicas().get();
            Optional<Choice> choice =
                    ReplicaSelector.choose(
                            mInFlight.candidates(replicas, excluded), next.mPrefixHash, mRandom);
            if (choice.isEmpty()) {
                return;
            }
            Replica replica = replicaOf(replicas, choice.get());
            if (choice.get().candidate().needsSlowStartSlot()) {
                acquireSlot(target, next, replica, choice.get());
            } else {
                grant(next, replica, () -> {}, choice.get());
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

    private void acquireSlot(String target, DispatchEntry ticket, Replica replica, Choice choice) {
        mTargetsAcquiringSlot.add(target);
        mSlots.acquire(replica, SLOT_TIMEOUT)
                .onErrorReturn(Optional.empty())
                .defaultIfEmpty(Optional.empty())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        slot -> {
                            mTargetsAcquiringSlot.remove(target);
                            if (slot.isPresent() && ticket.waiting()) {
                                grant(ticket, replica, slot.get(), choice);
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

    private void grant(DispatchEntry ticket, Replica replica, Slot slot, Choice choice) {
        mQueue.serve(ticket.mRequest);
        mWaiting.remove(ticket.mRequest.id());
        mWaitingCount = mWaiting.size();
        mInFlight.adjust(replica.server().name(), 1);
        ticket.mGrantedReplica = replica;
        ticket.mSlot = slot;
        ticket.mGrantedNanos = mLoop.clock().nowNanos();
        mLog.log(
                RequestEvent.SERVER_CHOSEN,
                LogField.field("request", ticket.mRequest.id()),
                LogField.field("target", ticket.mTarget.name()),
                LogField.field("workspace", ticket.mRequest.caller().accountedWorkspace().name()),
                LogField.field("server", replica.server().name()),
                LogField.field("failure_domain", replica.server().failureDomain().name()),
                LogField.field("incarnation", replica.incarnation()),
                LogField.field("reason", choice.reason()),
                LogField.field("load", choice.candidate().load()));
        if (ticket.mReplicaSink.tryEmitValue(replica).isFailure()) {
            closeOnLoop(ticket);
        }
    }

    private void closeOnLoop(DispatchEntry ticket) {
        if (ticket.mClosed) {
            return;
        }
        ticket.mClosed = true;
        // A retry has the same request id and may wait already when the first try is closed.
        mWaiting.remove(ticket.mRequest.id(), ticket);
        mWaitingCount = mWaiting.size();
        Replica replica = ticket.mGrantedReplica;
        if (replica == null) {
            mQueue.remove(ticket.mRequest.id());
            withdrawActivationIfLast(ticket.mTarget);
            return;
        }
        mInFlight.adjust(replica.server().name(), -1);
        if (ticket.mSlot != null) {
            ticket.mSlot.release();
        }
        mWaitEstimates
                .computeIfAbsent(ticket.mTarget.name(), name -> new WaitEstimate())
                .recordServiceTime(mLoop.clock().nowNanos() - ticket.mGrantedNanos);
        dispatchAll();
    }

    // Otherwise a server would load a model later for requests that are gone.
    private void withdrawActivationIfLast(Target target) {
        boolean others =
                mWaiting.values().stream()
                        .anyMatch(other -> other.mTarget.name().equals(target.name()));
        if (!others) {
            target.withdraw().run();
        }
    }

    private void refuse(DispatchEntry ticket, Refusal refusal) {
        if (ticket.waiting()) {
            closeOnLoop(ticket);
            ticket.mReplicaSink.tryEmitError(new RefusedException(refusal));
        }
    }

    private void activateIfNeeded(DispatchEntry ticket) {
        long now = mLoop.clock().nowNanos();
        boolean expected =
                ticket.mExpectedReadyNanos != Long.MIN_VALUE
                        && ticket.mExpectedReadyNanos - now > 0;
        if (!ticket.waiting()
                || ticket.mActivating
                || expected
                || !usableCandidates(ticket).isEmpty()) {
            return;
        }
        ticket.mActivating = true;
        Duration left = Duration.ofNanos(ticket.mRequest.deadlineNanos() - now);
        Refusal noAnswer =
                Refusal.retryable(
                        ResultCode.NO_BACKEND_SERVER, ticket.mTarget.name(), Duration.ofSeconds(1));
        ticket.mTarget
                .activate()
                .apply(left)
                .onErrorReturn(Either.left(noAnswer))
                .defaultIfEmpty(Either.left(noAnswer))
                .publishOn(mLoop.scheduler())
                .subscribe(result -> onActivation(ticket, result));
    }

    private void onActivation(DispatchEntry ticket, Either<Refusal, Duration> result) {
        ticket.mActivating = false;
        if (result.isLeft()) {
            refuse(ticket, result.getLeft());
            return;
        }
        long now = mLoop.clock().nowNanos();
        ticket.mExpectedReadyNanos =
                now + Math.max(result.get().toNanos(), TICK_INTERVAL.toNanos());
        FairQueue.checkDeadline(ticket.mRequest, result.get(), now)
                .ifPresent(refusal -> refuse(ticket, refusal));
        dispatch(ticket.mTarget.name());
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        // One tick early, so that nobody waits past the deadline.
        List.copyOf(mWaiting.values()).stream()
                .filter(ticket -> ticket.mRequest.deadlineNanos() - now <= TICK_INTERVAL.toNanos())
                .forEach(
                        ticket ->
                                refuse(
                                        ticket,
                                        Refusal.retryable(
                                                ResultCode.DEADLINE_UNREACHABLE,
                                                ticket.mTarget.name(),
                                                Duration.ofSeconds(1))));
        mServersWithoutSlot.clear();
        List.copyOf(mWaiting.values()).forEach(this::activateIfNeeded);
        dispatchAll();
    }
}
