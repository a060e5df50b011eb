package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;

/** Logs orders to engines and their outcomes. */
final class OrderEventLogger {

    private final EventLog mLog;

    OrderEventLogger(EventLog log) {
        mLog = log;
    }

    void logSent(PlannedOrder planned, EngineOrder order, long startedAtMillis) {
        mLog.log(
                FleetEvent.ORDER_SENT,
                field("server", planned.instance()),
                field("born", startedAtMillis),
                field("kind", planned.kind()),
                field("model", planned.model()),
                field("adapter", planned.adapter().orElse("")),
                field("expected_orders", order.expectedOrders()),
                field("term", order.term()),
                field("from_store", planned.fromStore()),
                field("reason", planned.reason()));
    }

    void logAnswer(PlannedOrder planned, OrderAnswer answer) {
        boolean failed = answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.ALREADY;
        mLog.log(
                failed ? FleetEvent.ORDER_FAILED : FleetEvent.ORDER_ANSWERED,
                field("server", planned.instance()),
                field("model", planned.model()),
                field("answer", answer));
    }

    /** Logs that the server has executed an order of another host. */
    void logCountRaised(FleetMember member, long term) {
        mLog.log(
                FleetEvent.ORDER_COUNT_RAISED,
                field("server", member.instance()),
                field("born", member.registered().startedAtMillis()),
                field("orders", member.modelState().orderCount()),
                field("term", term));
    }

    /** Logs an order that is assumed to be completed because its usual time has passed. */
    void logAssumedDone(PendingOrder pending, long nowNanos) {
        mLog.log(
                FleetEvent.LOAD_FINISHED,
                field("server", pending.order().instance()),
                field("kind", pending.order().kind()),
                field("model", pending.order().model()),
                field("assumed", true),
                field("took_ms", elapsedMillis(pending, nowNanos)));
    }

    /** Logs an order that a report shows as completed. */
    void logFinished(PendingOrder pending, int storeLoads, long nowNanos) {
        mLog.log(
                FleetEvent.LOAD_FINISHED,
                field("server", pending.order().instance()),
                field("kind", pending.order().kind()),
                field("model", pending.order().model()),
                field("took_ms", elapsedMillis(pending, nowNanos)),
                field("store_loads", storeLoads));
    }

    private static long elapsedMillis(PendingOrder pending, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - pending.sentNanos());
    }
}
