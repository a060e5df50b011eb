package org.vanillaslip.internal.gateway;

import java.time.Duration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Graceful shutdown: fails the readiness check, refuses new requests after a delay, and then waits
 * a limited time for running requests.
 */
final class ShutdownSequence {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time to write the last refusals after the timeout. */
    private static final Duration FINAL_REFUSAL_DELAY = Duration.ofMillis(200);

    private final GatewaySettings mSettings;
    private final DecisionLoop mLoop;
    private final Dispatcher mDispatcher;
    private final RunningRequests mRunningRequests;
    private final AttemptRunner mAttempts;
    private final EventLog mLog;
    private volatile boolean mBegun;
    private volatile boolean mRefusing;

    ShutdownSequence(
            GatewaySettings settings,
            DecisionLoop loop,
            Dispatcher dispatcher,
            RunningRequests runningRequests,
            AttemptRunner attempts,
            EventLog log) {
        mSettings = settings;
        mLoop = loop;
        mDispatcher = dispatcher;
        mRunningRequests = runningRequests;
        mAttempts = attempts;
        mLog = log;
    }

    boolean hasBegun() {
        return mBegun;
    }

    boolean isRefusing() {
        return mRefusing;
    }

    /** Completes when no requests are left or the shutdown timeout expires. */
    Mono<Void> run() {
        return Mono.defer(
                () -> {
                    mBegun = true;
                    mLog.log(LifecycleEvent.STOPPING);
                    Duration timeLimit =
                            mSettings.shutdownTimeout().minus(mSettings.shutdownDelay());
                    return Mono.delay(mSettings.shutdownDelay(), mLoop.scheduler())
                            .then(Mono.defer(() -> awaitRunningWork(timeLimit)));
                });
    }

    private Mono<Void> awaitRunningWork(Duration timeLimit) {
        mRefusing = true;
        mLog.log(LifecycleEvent.REFUSING);
        Mono<Void> idle =
                Flux.interval(Duration.ZERO, CHECK_INTERVAL, mLoop.scheduler())
                        .filter(
                                tick ->
                                        mRunningRequests.size() == 0
                                                && mAttempts.unfinishedCount() == 0)
                        .next()
                        .then();
        return idle.timeout(
                timeLimit.isNegative() ? Duration.ZERO : timeLimit,
                Mono.defer(this::abortRemaining),
                mLoop.scheduler());
    }

    private Mono<Void> abortRemaining() {
        mLog.log(
                LifecycleEvent.STOP_INCOMPLETE,
                LogField.field("unfinished", mRunningRequests.size()));
        Refusal refusal =
                Refusal.retryable(
                        ResultCode.HOST_STOPPING, mSettings.hostName(), Duration.ofSeconds(1));
        mDispatcher.refuseAll(entry -> true, refusal);
        mRunningRequests.abortAll(refusal);
        return Mono.delay(FINAL_REFUSAL_DELAY, mLoop.scheduler()).then();
    }
}
