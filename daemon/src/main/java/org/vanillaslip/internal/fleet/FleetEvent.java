package org.vanillaslip.internal.fleet;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of backend servers, loads and the lease on orders; numbers 520 to 559. */
public enum FleetEvent implements LogEvent {
    SERVER_LISTED(520, INFO, "A backend server is listed."),
    SERVER_LEFT(521, INFO, "A backend server leaves or is gone; it gets no new calls."),
    SERVER_UNREADABLE(522, WARNING, "An entry of the server list cannot be read; it is ignored."),
    PLAN_IN_FORCE(523, INFO, "A new configuration version is in force."),
    PLAN_UNREADABLE(524, WARNING, "A configuration version cannot be read; it is not in force."),
    DOMAIN_DRAINED(525, INFO, "A failure domain is drained; its servers get no new calls."),
    DOMAIN_RETURNED(526, INFO, "A drained failure domain is back in service."),
    SERVER_PAUSED(527, INFO, "Calls to a backend server failed; it gets no calls for a while."),
    STORE_LOST(528, WARNING, "The platform's store does not answer; the last known state is used."),
    STORE_REGAINED(529, INFO, "The platform's store answers again."),
    ANNOUNCEMENT_KEPT(
            530,
            INFO,
            "An entry shows a server in service that announced its shutdown before; it gets no new"
                    + " calls."),
    PROBE_WITHOUT_RESULT(
            531, INFO, "The probe of a paused backend server was cancelled; the next call probes."),
    REMOVAL_DELAYED(
            532,
            INFO,
            "An entry was removed after an outage of the store; the server stays in service for the"
                    + " time in which it may be listed again."),
    STORE_RESTORED(
            533,
            WARNING,
            "The platform's store came back from an older copy; what it lost is kept for a while."),
    REMOVAL_KEPT(
            534,
            INFO,
            "A removed server is listed as before its removal; it gets no calls unless it stays"
                    + " listed."),
    PLAN_ENTRIES_IGNORED(
            535,
            WARNING,
            "Entries of a configuration version contradict each other and are not in force."),
    CALLS_RANKED(
            536, INFO, "The configuration names several priorities; waiting calls are ranked."),
    CALLS_NOT_RANKED(
            537, INFO, "The configuration names one priority; waiting calls are served by age."),
    CALL_OUT_OF_REACH(
            538, DEBUG, "A waiting call is clearly not served before its deadline; it is refused."),
    CALL_DISPLACED(
            539, DEBUG, "The queue is full; the waiting call of the lowest rank is refused."),
    LEASE_TAKEN(540, INFO, "This host acquired the lease and orders loads from now on."),
    LEASE_LOST(541, WARNING, "This host lost the lease and no longer orders loads."),
    LEASE_WRITE_FAILED(542, WARNING, "The lease on orders could not be written."),
    ORDER_SENT(543, INFO, "An order to load or unload was sent."),
    ORDER_ANSWERED(544, DEBUG, "An order was answered."),
    ORDER_FAILED(545, WARNING, "An order was not accepted, or its outcome is unknown."),
    LOAD_FINISHED(546, INFO, "A load has finished."),
    REPORT_FAILED(547, DEBUG, "The report of a backend server could not be obtained."),
    CLOCKS_DISAGREE(
            548,
            WARNING,
            "The clocks of this host advanced differently; no orders are sent until a renewal."),
    REGISTRATION_FAILED(549, WARNING, "The host list could not be updated."),
    ORDER_UNANSWERED(550, DEBUG, "A backend server did not answer an order."),
    LEASE_FAULT(
            551, WARNING, "An answer about the lease could not be processed; it is read again."),
    LIMIT_NAMED(552, INFO, "A backend server limits the requests that it takes from all hosts."),
    LIMIT_ENDED(553, INFO, "A backend server no longer limits its requests."),
    LIMIT_UNREADABLE(554, DEBUG, "The limit that a backend server names is unreadable; ignored."),
    LIMIT_HELD(555, INFO, "This host now schedules the requests to a backend server with a limit."),
    ORDER_COUNT_RAISED(
            556,
            INFO,
            "A backend server has executed an order that it has not confirmed to this host."),
    ORDERS_WAIT(
            557,
            INFO,
            "A backend server gets no orders for now, as it may execute those of another host."),
    LEAVING_SAID(558, INFO, "A backend server says in an answer that it leaves; no new calls."),
    PAUSE_ASKED(559, INFO, "A backend server turns calls away and names the time to come back.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    FleetEvent(int number, System.Logger.Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    @Override
    public int number() {
        return mNumber;
    }

    @Override
    public System.Logger.Level level() {
        return mLevel;
    }

    @Override
    public String text() {
        return mText;
    }
}
