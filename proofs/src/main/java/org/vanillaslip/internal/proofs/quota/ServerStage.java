package org.vanillaslip.internal.proofs.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.queue.FairQueue;
import org.vanillaslip.internal.queue.QueueLimits;
import org.vanillaslip.internal.queue.WaitingRequest;

/** The places of one host at its backend servers, behind a fair queue or one in arrival order. */
final class ServerStage {

    private static final int PLACES = 8;
    private static final String TARGET = "model";

    private final VirtualScheduler mScheduler;
    private final boolean mFair;
    private final double mTokensPerNano;
    private final FairQueue mQueue = new FairQueue(QueueLimits.defaults());
    private final Deque<WaitingRequest> mInOrder = new ArrayDeque<>();
    private final Map<String, Runnable> mStarted = new HashMap<>();
    private int mRunning;
    private int mNumber;

    ServerStage(VirtualScheduler scheduler, boolean fair, double tokensPerSecond) {
        mScheduler = scheduler;
        mFair = fair;
        mTokensPerNano = tokensPerSecond / 1e9 / PLACES;
    }

    /** Queues a request; returns false when it is refused at once. */
    boolean enter(Arrival arrival, Runnable started) {
        WaitingRequest request =
                new WaitingRequest(
                        Integer.toString(mNumber++),
                        TARGET,
                        new Caller(
                                Optional.of(new Workspace(arrival.load().workspace())),
                                Optional.empty()),
                        RequestClass.INTERACTIVE,
                        arrival.tokens(),
                        1000,
                        arrival.at() + PolicyRun.DEADLINE.toNanos());
        if (mFair) {
            if (mQueue.offer(request, Duration.ZERO, mScheduler.nowNanos()).isLeft()) {
                return false;
            }
        } else {
            mInOrder.add(request);
        }
        mStarted.put(request.id(), started);
        pump();
        return true;
    }

    private void pump() {
        while (mRunning < PLACES) {
            WaitingRequest next = mFair ? mQueue.peek(TARGET).orElse(null) : mInOrder.poll();
            if (next == null) {
                return;
            }
            if (mFair) {
                mQueue.serve(next);
            }
            mRunning++;
            Optional.ofNullable(mStarted.remove(next.id())).ifPresent(Runnable::run);
            mScheduler.schedule(
                    () -> {
                        mRunning--;
                        pump();
                    },
                    (long) (next.tokens() / mTokensPerNano),
                    TimeUnit.NANOSECONDS);
        }
    }
}
