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
    private static final Duration TICK = Duration.ofMillis(50);

    private static final Duration SLOT_WAIT = Duration.ofMillis(500);

    private final DecisionLoop mLoop;
    private final InFlight mInFlight;
    private final SlowStartSlots mSlots;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final FairQueue mQueue;
    private final Map<String, Ticket> mWaiting = new HashMap<>();
    private final Map<String, WaitEstimate> mEstimates = new HashMap<>();
    private final Map<String, Set<String>> mSlotless = new HashMap<>();
    private final Set<String> mAcquiring = new HashSet<>();
    private final Disposable mTicks;
    private volatile int mWaitingCount;

    Dispatcher(
            DecisionLoop loop,
            InFlight inFlight,
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
        mTicks =
                loop.scheduler()
                        .schedulePeriodically(
                                this::tick,
                                TICK.toMillis(),
                                TICK.toMillis(),
                                TimeUnit.MILLISECONDS);
    }

    /** Queues the ticket; returns the replica that it may use until {@link #close}. */
    Mono<Replica> enter(Ticket ticket) {
        return Mono.defer(
                () -> {
                    mLoop.scheduler().schedule(() -> enqueue(ticket));
                    return ticket.mGranted.asMono();
                });
    }

    /** Takes the ticket out of the queue, or gives its place back. Later calls have no effect. */
    void close(Ticket ticket) {
        mLoop.scheduler().schedule(() -> closeNow(ticket));
    }

    /** Corrects the fair share of a workspace by what the request really used. */
    void correct(Ticket ticket, long usedTokens) {
        mLoop.scheduler().schedule(() -> mQueue.correctCharge(ticket.mRequest, usedTokens));
    }

    /** Refuses what the new configuration forbids and serves what it permits. */
    void onConfiguration(Configuration configuration) {
        List.copyOf(mWaiting.values())
                .forEach(
                        ticket ->
                                ticket.mRecheck
                                        .apply(configuration)
                                        .ifPresent(refusal -> refuse(ticket, refusal)));
        pumpAll();
    }

    /** Serves waiting requests after a change of replicas. */
    void pumpAll() {
        mQueue.waitingTargets().forEach(this::pump);
    }

    /** Refuses all waiting requests that match. */
    void refuseAll(Predicate<Ticket> condition, Refusal refusal) {
        List.copyOf(mWaiting.values()).stream()
                .filter(condition)
                .forEach(ticket -> refuse(ticket, refusal));
    }

    /** Returns the number of waiting requests. */
    int waiting() {
        return mWaitingCount;
    }

    void dispose() {
        mTicks.dispose();
    }

    private void enqueue(Ticket ticket) {
        if (ticket.mClosed) {
            return;
        }
        Either<Refusal, ?> queued =
                mQueue.offer(ticket.mRequest, estimate(ticket), mLoop.clock().nowNanos());
        if (queued.isLeft()) {
            ticket.mClosed = true;
            ticket.mGranted.tryEmitError(new RefusedException(queued.getLeft()));
            return;
        }
        mWaiting.put(ticket.mRequest.id(), ticket);
        mWaitingCount = mWaiting.size();
        pump(ticket.mTarget.name());
        activateIfNeeded(ticket);
    }

    private Duration estimate(Ticket ticket) {
        List<Candidate> usable = usable(ticket);
        int places =
                usable.stream()
                        .mapToInt(candidate -> candidate.server().slowStart().fullConcurrency())
                        .sum();
        int taken = usable.stream().mapToInt(Candidate::ownInFlight).sum();
        return mEstimates
                .computeIfAbsent(ticket.mTarget.name(), name -> new WaitEstimate())
                .waitBehind(
                        mQueue.requestsAhead(
                                ticket.mTarget.name(),
                                ticket.mRequest.caller().accountedWorkspace()),
                        Math.max(0, places - taken),
                        places);
    }

    private List<Candidate> usable(Ticket ticket) {
        return mInFlight.candidates(ticket.mTarget.replicas().get(), ticket.mTriedServers).stream()
                .filter(candidate -> !candidate.excluded())
                .toList();
    }

    private void pump(String target) {
        while (!mAcquiring.contains(target)) {
            Ticket next = mQueue.peek(target).map(head -> mWaiting.get(head.id())).orElse(null);
            if (next == null) {
                return;
            }
            Set<String> excluded = new HashSet<>(next.mTriedServers);
            excluded.addAll(mSlotless.getOrDefault(target, Set.of()));
            List<Replica> replicas = next.mTarget.replicas().get();
            Optional<Choice> choice =
                    ReplicaSelector.choose(
                            mInFlight.candidates(replicas, excluded), next.mPrefixHash, mRandom);
            if (choice.isEmpty()) {
                return;
            }
            Replica replica = replicaOf(replicas, choice.get());
            if (choice.get().candidate().needsSlowStartSlot()) {
                acquire(target, next, replica, choice.get());
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

    private void acquire(String target, Ticket ticket, Replica replica, Choice choice) {
        mAcquiring.add(target);
        mSlots.acquire(replica, SLOT_WAIT)
                .onErrorReturn(Optional.empty())
                .defaultIfEmpty(Optional.empty())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        slot -> {
                            mAcquiring.remove(target);
                            if (slot.isPresent() && ticket.waiting()) {
                                grant(ticket, replica, slot.get(), choice);
                            } else if (slot.isPresent()) {
                                slot.get().release();
                            } else {
                                mSlotless
                                        .computeIfAbsent(target, name -> new HashSet<>())
                                        .add(replica.server().name());
                            }
                            pump(target);
                        });
    }

    private void grant(Ticket ticket, Replica replica, Slot slot, Choice choice) {
        mQueue.serve(ticket.mRequest);
        mWaiting.remove(ticket.mRequest.id());
        mWaitingCount = mWaiting.size();
        mInFlight.add(replica.server().name(), 1);
        ticket.mReplica = replica;
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
        if (ticket.mGranted.tryEmitValue(replica).isFailure()) {
            closeNow(ticket);
        }
    }

    private void closeNow(Ticket ticket) {
        if (ticket.mClosed) {
            return;
        }
        ticket.mClosed = true;
        // A retry has the same request id and may wait already when the first try is closed.
        mWaiting.remove(ticket.mRequest.id(), ticket);
        mWaitingCount = mWaiting.size();
        Replica replica = ticket.mReplica;
        if (replica == null) {
            mQueue.remove(ticket.mRequest.id());
            withdrawIfLast(ticket.mTarget);
            return;
        }
        mInFlight.add(replica.server().name(), -1);
        if (ticket.mSlot != null) {
            ticket.mSlot.release();
        }
        mEstimates
                .computeIfAbsent(ticket.mTarget.name(), name -> new WaitEstimate())
                .recordServiceTime(mLoop.clock().nowNanos() - ticket.mGrantedNanos);
        pumpAll();
    }

    // Otherwise a server would load a model later for requests that are gone.
    private void withdrawIfLast(Target target) {
        boolean others =
                mWaiting.values().stream()
                        .anyMatch(other -> other.mTarget.name().equals(target.name()));
        if (!others) {
            target.withdraw().run();
        }
    }

    private void refuse(Ticket ticket, Refusal refusal) {
        if (ticket.waiting()) {
            closeNow(ticket);
            ticket.mGranted.tryEmitError(new RefusedException(refusal));
        }
    }

    private void activateIfNeeded(Ticket ticket) {
        long now = mLoop.clock().nowNanos();
        boolean expected =
                ticket.mExpectedNanos != Long.MIN_VALUE && ticket.mExpectedNanos - now > 0;
        if (!ticket.waiting() || ticket.mActivating || expected || !usable(ticket).isEmpty()) {
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

    private void onActivation(Ticket ticket, Either<Refusal, Duration> result) {
        ticket.mActivating = false;
        if (result.isLeft()) {
            refuse(ticket, result.getLeft());
            return;
        }
        long now = mLoop.clock().nowNanos();
        ticket.mExpectedNanos = now + Math.max(result.get().toNanos(), TICK.toNanos());
        FairQueue.checkDeadline(ticket.mRequest, result.get(), now)
                .ifPresent(refusal -> refuse(ticket, refusal));
        pump(ticket.mTarget.name());
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        // One tick early, so that nobody waits past the deadline.
        List.copyOf(mWaiting.values()).stream()
                .filter(ticket -> ticket.mRequest.deadlineNanos() - now <= TICK.toNanos())
                .forEach(
                        ticket ->
                                refuse(
                                        ticket,
                                        Refusal.retryable(
                                                ResultCode.DEADLINE_UNREACHABLE,
                                                ticket.mTarget.name(),
                                                Duration.ofSeconds(1))));
        mSlotless.clear();
        List.copyOf(mWaiting.values()).forEach(this::activateIfNeeded);
        pumpAll();
    }
}
