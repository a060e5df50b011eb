package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
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
 * one standby run at another server; whichever delivers first goes on and the other is cancelled.
 * Used on the decision loop only.
 *
 * @param <T> an item that a run delivers
 */
final class StandbyRace<T> {

    private final RelayCall mCall;
    private final Standbys mStandbys;
    private final BiConsumer<FleetMember, Duration> mOnSilence;
    private final BiFunction<RequestSlot, Runnable, Flux<T>> mRunAt;
    private final DecisionLoop mLoop;
    private final SilenceMeter mMeter;
    private Disposable mChecks = Disposables.disposed();
    private @Nullable FluxSink<T> mSink;
    private @Nullable Run mLeader;
    private @Nullable Run mStandby;
    private long mRequested;
    private boolean mEnded;

    /**
     * Creates a race that can be subscribed to once.
     *
     * @param timeout time after which a server counts as silent
     * @param onSilence called with the server and the time of its silence while that lasts
     * @param runAt sends the call to the server of the slot, and runs the action from when on the
     *     server may be silent
     */
    StandbyRace(
            RelayCall call,
            Standbys standbys,
            Duration timeout,
            BiConsumer<FleetMember, Duration> onSilence,
            BiFunction<RequestSlot, Runnable, Flux<T>> runAt,
            DecisionLoop loop) {
        mCall = call;
        mStandbys = standbys;
        mOnSilence = onSilence;
        mRunAt = runAt;
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
        if (!mMeter.check(now())) {
            return;
        }
        mOnSilence.accept(leader.mServer, mMeter.silence());
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
            mLeader = run;
            mStandby = null;
            leader.cancel();
            mStandbys.recordDelivered(mCall, leader.mServer, run.mServer);
        } else {
            cancelStandby("the silent server delivered");
        }
        mMeter.restart(now());
        if (mRequested != Long.MAX_VALUE) {
            mRequested--;
        }
        sink.next(item);
    }

    private void complete(Run run) {
        FluxSink<T> sink = mSink;
        if (mEnded || sink == null || mLeader == null) {
            return;
        }
        if (run == mStandby) {
            mStandby = null;
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
            mStandbys.recordNothing(
                    mCall, leader.mServer, run.mServer, String.valueOf(error.getMessage()));
            return;
        }
        if (standby != null && error instanceof SendFailedException) {
            mLeader = standby;
            mStandby = null;
            mMeter.restart(now());
            mStandbys.recordAlone(mCall, leader.mServer, standby.mServer);
            return;
        }
        sink.error(error);
    }

    private void cancelStandby(String cause) {
        Run standby = mStandby;
        if (standby != null && mLeader != null) {
            mStandby = null;
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
