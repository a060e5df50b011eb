package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.RequestSlot;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Starts standby runs for the calls of silent servers, and records their results. */
final class Standbys {

    /**
     * Time for another server to begin a stream; the list that names the stop may be two seconds
     * old.
     */
    private static final Duration MOVE_TIME = Duration.ofSeconds(3);

    private final CallSender mSender;
    private final Predicate<String> mMovesCallsOf;
    private final StandbyLimits mLimits = new StandbyLimits();
    private final DecisionLoop mLoop;
    private final EventLog mLog;

    /**
     * Creates standby runs.
     *
     * @param movesCallsOf whether the calls of a pool move away from a server that stops soon
     */
    Standbys(CallSender sender, Predicate<String> movesCallsOf, DecisionLoop loop, EventLog log) {
        mSender = sender;
        mMovesCallsOf = movesCallsOf;
        mLoop = loop;
        mLog = log;
    }

    /** Makes new calls prefer servers other than the silent one, unless other calls hear it. */
    void avoid(FleetMember server, Duration timeout) {
        long now = mLoop.clock().nowNanos();
        if (!server.health().succeededSince(now - timeout.toNanos())) {
            server.health().recordSilence(now);
        }
    }

    /** Reserves a slot on another server that has room now, if all limits allow it. */
    Optional<RequestSlot> tryBegin(RelayCall call, FleetMember silent, Duration silence) {
        long now = mLoop.clock().nowNanos();
        if (!call.allowsStandby() || !mLimits.tryBegin(silent.startId(), now)) {
            return Optional.empty();
        }
        Optional<RequestSlot> slot = mSender.reserveStandby(call, silent);
        slot.ifPresentOrElse(
                reserved ->
                        mLog.log(
                                RelayEvent.STANDBY_STARTED,
                                field("request", call.head().id()),
                                field("silent_server", silent.instance()),
                                field("silence_ms", silence.toMillis()),
                                field("server", reserved.server().instance())),
                () -> mLimits.recordNotStarted(silent.startId(), now));
        return slot;
    }

    /** Returns whether the server stops so soon that its calls move to another one. */
    boolean stopsSoon(RelayCall call, FleetMember server) {
        return server.stopsWithin(MOVE_TIME, mLoop.clock().nowNanos())
                && mMovesCallsOf.test(call.target().pool());
    }

    /** Reserves a slot for a call of a server that stops soon, on another one that has room now. */
    Optional<RequestSlot> tryMove(RelayCall call, FleetMember stopping) {
        if (!call.allowsStandby()) {
            return Optional.empty();
        }
        Optional<RequestSlot> slot = mSender.reserveStandby(call, stopping);
        slot.ifPresent(
                reserved ->
                        mLog.log(
                                RelayEvent.MOVE_STARTED,
                                field("request", call.head().id()),
                                field("stopping_server", stopping.instance()),
                                field("server", reserved.server().instance())));
        return slot;
    }

    /** Records that the other server has caught up, so that the stopping one's run is cancelled. */
    void recordMoved(RelayCall call, FleetMember stopping, FleetMember next) {
        call.recordPossibleRun();
        call.triedServers().add(stopping.instance());
        mLog.log(
                RelayEvent.MOVED,
                field("request", call.head().id()),
                field("stopping_server", stopping.instance()),
                field("server", next.instance()));
    }

    /**
     * Records that the standby run delivered first, so that the silent server's run is cancelled.
     */
    void recordDelivered(RelayCall call, FleetMember silent, FleetMember standby) {
        call.recordPossibleRun();
        call.triedServers().add(silent.instance());
        mSender.recordFailure(call, silent);
        mLimits.recordDelivered(silent.startId(), mLoop.clock().nowNanos());
        mLog.log(
                RelayEvent.STANDBY_DELIVERED,
                field("request", call.head().id()),
                field("silent_server", silent.instance()),
                field("server", standby.instance()));
    }

    /** Records that the standby run was cancelled, so that the silent server goes on. */
    void recordCancelled(RelayCall call, FleetMember silent, FleetMember standby, String cause) {
        call.recordCancelledStandby();
        recordNothing(call, silent, standby, cause);
    }

    /** Records that the standby run failed; the failed send itself is recorded already. */
    void recordNothing(RelayCall call, FleetMember silent, FleetMember standby, String cause) {
        call.recordServer(silent.instance());
        mLimits.recordNothing(silent.startId(), mLoop.clock().nowNanos());
        logEnded(call, silent, standby, cause);
    }

    /** Records that the other server did not run the call, so that another one may be asked. */
    void recordNotRun(RelayCall call, FleetMember silent, FleetMember standby, String cause) {
        call.recordServer(silent.instance());
        mLimits.recordNotStarted(silent.startId(), mLoop.clock().nowNanos());
        logEnded(call, silent, standby, cause);
    }

    /** Records that the call ended while its server was silent; a call that expired blames it. */
    void recordEndedInSilence(RelayCall call, FleetMember silent) {
        if (call.remainingTime(mLoop.clock().nowNanos()).isZero()) {
            mSender.recordFailure(call, silent);
        }
    }

    /** Records that the silent server failed, so that only the standby run is left. */
    void recordAlone(RelayCall call, FleetMember silent, FleetMember standby) {
        call.recordServer(standby.instance());
        mLimits.recordNothing(silent.startId(), mLoop.clock().nowNanos());
        logEnded(call, silent, standby, "the silent server failed, the standby run goes on");
    }

    private void logEnded(RelayCall call, FleetMember silent, FleetMember standby, String cause) {
        mLog.log(
                RelayEvent.STANDBY_ENDED,
                field("request", call.head().id()),
                field("silent_server", silent.instance()),
                field("server", standby.instance()),
                field("cause", cause));
    }

    /** Records that the server is not silent. */
    void recordHeard(FleetMember server) {
        mLimits.recordHeard(server.startId(), mLoop.clock().nowNanos());
    }
}
