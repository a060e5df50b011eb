package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import org.vanillaslip.internal.fleet.WaitingCallQueue;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The calls of a host that stops: waiting ones are refused, running ones may end. */
final class ActiveCallsAtStop {

    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time to send the error responses; the platform kills a host shortly afterwards. */
    private static final Duration INTERRUPTED_RESPONSE_TIME = Duration.ofMillis(150);

    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

    private final CallRelay mRelay;
    private final WaitingCallQueue mWaitingCalls;
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    ActiveCallsAtStop(
            CallRelay relay, WaitingCallQueue waitingCalls, DecisionLoop loop, EventLog log) {
        mRelay = relay;
        mWaitingCalls = waitingCalls;
        mLoop = loop;
        mLog = log;
    }

    /** Ends when no call is active; calls that are active after the time get an error. */
    Mono<Void> awaitEnd(Duration timeout) {
        Mono<Long> refuseWaitingCalls =
                Mono.delay(timeout.dividedBy(2), mLoop.scheduler())
                        .doOnNext(tick -> mWaitingCalls.refuseUnanswered(STOPPING_RETRY_AFTER));
        Mono<Void> idle =
                Flux.interval(Duration.ZERO, IDLE_CHECK_INTERVAL, mLoop.scheduler())
                        .filter(tick -> mRelay.activeCalls() == 0)
                        .next()
                        .then();
        Mono<Void> interrupted =
                Mono.delay(timeout, mLoop.scheduler())
                        .doOnNext(tick -> interruptActiveCalls())
                        .then(Mono.delay(INTERRUPTED_RESPONSE_TIME, mLoop.scheduler()))
                        .then();
        return Mono.firstWithSignal(idle, interrupted)
                .doOnSubscribe(
                        started -> {
                            mLog.log(
                                    LifecycleEvent.REFUSING, field("active", mRelay.activeCalls()));
                            refuseWaitingCalls.subscribe();
                        });
    }

    private void interruptActiveCalls() {
        mLog.log(LifecycleEvent.STOP_INCOMPLETE, field("unfinished", mRelay.activeCalls()));
        mRelay.interruptActiveCalls();
    }
}
