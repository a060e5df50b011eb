package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.function.Consumer;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.queue.RankPosition;
import org.vanillaslip.internal.queue.RoomEstimate;

/** Log lines and metrics of the ranked queue. */
final class RankedCallReports {

    private final Consumer<String> mCounter;
    private final EventLog mLog;

    RankedCallReports(Consumer<String> counter, EventLog log) {
        mCounter = counter;
        mLog = log;
    }

    void recordRanking(boolean enabled) {
        mLog.log(enabled ? FleetEvent.CALLS_RANKED : FleetEvent.CALLS_NOT_RANKED);
    }

    void recordServed(RankPosition<WaitingCall> position) {
        mCounter.accept(position.lifted() ? "lifted" : "served");
    }

    void recordReturned() {
        mCounter.accept("returned");
    }

    void recordOutOfReach(
            RankPosition<WaitingCall> position,
            int callsAhead,
            Duration timeLeft,
            RoomEstimate estimate) {
        mCounter.accept("out_of_reach");
        mLog.log(
                FleetEvent.CALL_OUT_OF_REACH,
                field("request", position.call().request().callId()),
                field("workspace", position.call().criteria().profile().workspace()),
                field("priority", position.call().priority()),
                field("calls_ahead", callsAhead),
                field("time_left_ms", timeLeft.toMillis()),
                field("slots_per_second", estimate.slotsPerSecond()));
    }

    void recordDisplaced(WaitingCall call, WaitingCall added) {
        mCounter.accept("displaced");
        mLog.log(
                FleetEvent.CALL_DISPLACED,
                field("request", call.request().callId()),
                field("workspace", call.criteria().profile().workspace()),
                field("priority", call.priority()),
                field("for", added.request().callId()));
    }
}
