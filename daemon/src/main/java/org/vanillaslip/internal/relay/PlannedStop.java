package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import org.vanillaslip.internal.fleet.FleetEvent;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.HostRegistration;
import org.vanillaslip.internal.fleet.WaitingCallQueue;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.settings.HostSettings;
import reactor.core.publisher.Mono;

/**
 * The steps of a planned stop: releases the lease, ends new connections, waits for waiting and
 * running calls, and removes the host from the list. Readiness has failed before.
 */
final class PlannedStop {

    private static final Duration REMOVAL_TIMEOUT = Duration.ofMillis(500);

    private final HostSettings mHost;
    private final CallRelay mRelay;
    private final WaitingCallQueue mWaitingCalls;
    private final ServingHttpServers mHttpServers;
    private final FleetLease mLease;
    private final HostRegistration mRegistration;
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    PlannedStop(
            HostSettings host,
            CallRelay relay,
            WaitingCallQueue waitingCalls,
            ServingHttpServers httpServers,
            FleetLease lease,
            HostRegistration registration,
            DecisionLoop loop,
            EventLog log) {
        mHost = host;
        mRelay = relay;
        mWaitingCalls = waitingCalls;
        mHttpServers = httpServers;
        mLease = lease;
        mRegistration = registration;
        mLoop = loop;
        mLog = log;
    }

    /** Blocks until the host has stopped or its time is up. */
    void run() {
        mRelay.closeConnectionsAfterResponses();
        mLog.log(LifecycleEvent.STOPPING, field("active", mRelay.activeCalls()));
        Duration timeout = mHost.shutdownTimeout();
        mLoop.scheduler().schedule(() -> mLease.release().subscribe());
        StopSchedule schedule = StopSchedule.of(mHost.shutdownDelay());
        Mono.delay(schedule.refusal(), mLoop.scheduler())
                .doOnNext(tick -> mRelay.refuseNewCalls())
                .delayElement(schedule.closing().minus(schedule.refusal()), mLoop.scheduler())
                .doOnNext(tick -> mHttpServers.stopAccepting())
                .then(new ActiveCallsAtStop(mRelay, mWaitingCalls, mLoop, mLog).awaitEnd(timeout))
                .then(
                        mRegistration
                                .stop()
                                .timeout(REMOVAL_TIMEOUT)
                                .onErrorComplete(this::logFailure))
                .block(mHost.shutdownDelay().plus(timeout).plus(REMOVAL_TIMEOUT.multipliedBy(2)));
    }

    /** Logs and ignores the failure, because other hosts remove a silent host from the list. */
    private boolean logFailure(Throwable error) {
        mLog.log(FleetEvent.REGISTRATION_FAILED, field("cause", error.toString()));
        return true;
    }
}
