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

/** Request slots of one host at its backend servers, behind a fair or a first-come queue. */
final class SimulatedServers {

    private static final int REQUEST_SLOTS = 8;
    private static final String TARGET = "model";

    private final VirtualScheduler mScheduler;
    private final boolean mFair;
    private final double mTokensPerNano;
    private final FairQueue mFairQueue = new FairQueue(QueueLimits.defaults());
    private final Deque<WaitingRequest> mArrivalOrderQueue = new ArrayDeque<>();
    private final Map<String, Runnable> mStartCallbacks = new HashMap<>();
    private int mRunning;
    private int mNextId;

    SimulatedServers(VirtualScheduler scheduler, boolean fair, double tokensPerSecond) {
        mScheduler = scheduler;
        mFair = fair;
        mTokensPerNano = tokensPerSecond / 1e9 / REQUEST_SLOTS;
    }

    /** Queues a request; returns false if the queue refuses it. */
    boolean enqueue(Arrival arrival, Runnable onStart) {
        WaitingRequest request =
                new WaitingRequest(
                        Integer.toString(mNextId++),
                        TARGET,
                        new Caller(
                                Optional.of(new Workspace(arrival.load().workspace())),
                                Optional.empty()),
                        RequestClass.INTERACTIVE,
                        arrival.tokens(),
                        1000,
                        arrival.arrivalNanos() + PolicyRun.DEADLINE.toNanos());
        if (mFair) {
            if (mFairQueue.offer(request, Duration.ZERO, mScheduler.nowNanos()).isLeft()) {
                return false;
            }
        } else {
            mArrivalOrderQueue.add(request);
        }
        mStartCallbacks.put(request.id(), onStart);
        startWaitingRequests();
        return true;
    }

    private void startWaitingRequests() {
        while (mRunning < REQUEST_SLOTS) {
            WaitingRequest next =
                    mFair ? mFairQueue.peek(TARGET).orElse(null) : mArrivalOrderQueue.poll();
            if (next == null) {
                return;
            }
            if (mFair) {
                mFairQueue.serve(next);
            }
            mRunning++;
            Optional.ofNullable(mStartCallbacks.remove(next.id())).ifPresent(Runnable::run);
            mScheduler.schedule(
                    () -> {
                        mRunning--;
                        startWaitingRequests();
                    },
                    (long) (next.tokens() / mTokensPerNano),
                    TimeUnit.NANOSECONDS);
        }
    }
}
