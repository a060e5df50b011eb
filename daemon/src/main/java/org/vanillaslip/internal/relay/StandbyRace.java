package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscription;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.RequestSlot;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Operators;

/**
 * The run of a call at its server, which keeps the call while it is silent. Meanwhile there may be
 * one standby run at another server; whichever delivers first goes on and the other is cancelled. A
 * server that stops soon goes on while another one catches up with it. Used on the decision loop
 * only.
 *
 * @param <T> an item that a run delivers
 */
final class StandbyRace<T> {

    private final RelayCall mCall;
    private final Standbys mStandbys;
    private final Consumer<FleetMember> mOnSilence;
    private final BiFunction<RequestSlot, Runnable, Flux<T>> mRunAt;
    private final BooleanSupplier mEndsCall;
    private final DecisionLoop mLoop;
    private final SilenceMeter mMeter;
    private Disposable mChecks = Disposables.disposed();
    private @Nullable FluxSink<T> mSink;
    private @Nullable Run mLeader;
    private @Nullable Run mStandby;
    private long mRequested;
    private boolean mSilent;
    private boolean mMoving;
    private boolean mEnded;

    /**
     * Creates a race that can be subscribed to once.
     *
     * @param timeout time after which a server counts as silent
     * @param onSilence called with the server while it is silent
     * @param runAt sends the call to the server of the slot, and runs the action from when on the
     *     server may be silent
     * @param endsCall whether a run that completed without an item shows that none is left
     */
    StandbyRace(
            RelayCall call,
            Standbys standbys,
            Duration timeout,
            Consumer<FleetMember> onSilence,
            BiFunction<RequestSlot, Runnable, Flux<T>> runAt,
            BooleanSupplier endsCall,
            DecisionLoop loop) {
        mCall = call;
        mStandbys = standbys;
        mOnSilence = onSilence;
        mRunAt = runAt;
        mEndsCall = endsCall;
        mLoop = loop;
        mMeter = new SilenceMeter(timeout, loop.clock().nowNanos());
    }

    /** Returns the items of the call, which is first sent to the server of the slot. */
    Flux<T> items(RequestSlot slot) {
        return Flux.create(
                sink -> {
                    mSink = sink;
                    Run leader = new Run(slot.server());
                    mLeader = leader;
                    sink.onDispose(this::end);
                    sink.onRequest(this::request);
                    mRunAt.apply(slot, this::startChecks).subscribe(leader);
                });
    }

    /** Begins to measure the silence. */
    private void startChecks() {
        if (mEnded || !mChecks.isDisposed()) {
            return;
        }
        mMeter.restart(now());
        long intervalNanos = mMeter.interval().toNanos();
        mChecks =
                mLoop.scheduler()
                        .schedulePeriodically(
                                this::check, intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
    }

    private void request(long additional) {
        if (mRequested == 0) {
            mMeter.restart(now());
        }
        mRequested = Operators.addCap(mRequested, additional);
        if (mLeader != null) {
            mLeader.request(additional);
        }
        if (mStandby != null) {
            mStandby.request(additional);
        }
    }

    private void check() {
        Run leader = mLeader;
        if (mEnded || leader == null) {
            return;
        }
        if (mRequested == 0) {
            mMeter.restart(now());
            return;
        }
        if (mStandby == null && mStandbys.stopsSoon(mCall, leader.mServer)) {
            mStandbys
                    .tryMove(mCall, leader.mServer)
                    .ifPresent(
                            slot -> {
                                mMoving = true;
                                startStandby(slot);
                            });
        }
        if (!mMeter.check(now())) {
            return;
        }
        mSilent = true;
        mOnSilence.accept(leader.mServer);
        if (mStandby == null) {
            mStandbys
                    .tryBegin(mCall, leader.mServer, mMeter.silence())
                    .ifPresent(this::startStandby);
        }
    }

    private void startStandby(RequestSlot slot) {
        Run standby = new Run(slot.server());
        mStandby = standby;
        mRunAt.apply(slot, this::startChecks).subscribe(standby);
    }

    private void deliver(Run run, T item) {
        FluxSink<T> sink = mSink;
        Run leader = mLeader;
        if (mEnded || sink == null || leader == null) {
            return;
        }
        if (run == mStandby) {
            replaceLeader(leader, run);
        } else if (!mMoving) {
            cancelStandby("the silent server delivered");
        }
        mSilent = false;
        mMeter.restart(now());
        if (mRequested != Long.MAX_VALUE) {
            mRequested--;
        }
        sink.next(item);
    }

    private void replaceLeader(Run leader, Run standby) {
        mLeader = standby;
        mStandby = null;
        leader.cancel();
        if (mMoving) {
            mMoving = false;
            mStandbys.recordMoved(mCall, leader.mServer, standby.mServer);
        } else {
            mStandbys.recordDelivered(mCall, leader.mServer, standby.mServer);
        }
    }

    private void complete(Run run) {
        FluxSink<T> sink = mSink;
        if (mEnded || sink == null || mLeader == null) {
            return;
        }
        if (run == mStandby && mEndsCall.getAsBoolean()) {
            replaceLeader(mLeader, run);
            mSilent = false;
            sink.complete();
            return;
        }
        if (run == mStandby) {
            mStandby = null;
            mMoving = false;
            mStandbys.recordCancelled(
                    mCall, mLeader.mServer, run.mServer, "the standby run had nothing to add");
            return;
        }
        cancelStandby("the silent server completed the answer");
        sink.complete();
    }

    private void fail(Run run, Throwable error) {
        FluxSink<T> sink = mSink;
        Run leader = mLeader;
        Run standby = mStandby;
        if (mEnded || sink == null || leader == null) {
            return;
        }
        if (run == standby) {
            mStandby = null;
            mMoving = false;
            recordFailedStandby(leader, run, error);
            return;
        }
        if (standby != null && error instanceof SendFailedException) {
            mLeader = standby;
            mStandby = null;
            mMoving = false;
            mSilent = false;
            mMeter.restart(now());
            mStandbys.recordAlone(mCall, leader.mServer, standby.mServer);
            return;
        }
        sink.error(error);
    }

    private void recordFailedStandby(Run leader, Run standby, Throwable error) {
        String cause = String.valueOf(error.getMessage());
        boolean mayHaveRun =
                !(error instanceof SendFailedException failure)
                        || failure.kind() == SendFailureKind.UNKNOWN;
        if (mayHaveRun) {
            mStandbys.recordNothing(mCall, leader.mServer, standby.mServer, cause);
        } else {
            mStandbys.recordNotRun(mCall, leader.mServer, standby.mServer, cause);
        }
    }

    private void cancelStandby(String cause) {
        Run standby = mStandby;
        if (standby != null && mLeader != null) {
            mStandby = null;
            mMoving = false;
            standby.cancel();
            mStandbys.recordCancelled(mCall, mLeader.mServer, standby.mServer, cause);
        }
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mChecks.dispose();
        cancelStandby("the call ended");
        if (mLeader != null) {
            mLeader.cancel();
            if (mSilent) {
                mStandbys.recordEndedInSilence(mCall, mLeader.mServer);
            }
        }
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }

    /** The run at one server. */
    private final class Run extends BaseSubscriber<T> {

        private final FleetMember mServer;

        Run(FleetMember server) {
            mServer = server;
        }

        @Override
        protected void hookOnSubscribe(Subscription subscription) {
            if (mRequested > 0) {
                request(mRequested);
            }
        }

        @Override
        protected void hookOnNext(T item) {
            deliver(this, item);
        }

        @Override
        protected void hookOnComplete() {
            complete(this);
        }

        @Override
        protected void hookOnError(Throwable error) {
            fail(this, error);
        }
    }
}
