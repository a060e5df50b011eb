package org.vanillaslip.internal.fleet;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of backend servers, loads and the lease on them; numbers 620 to 679. */
public enum FleetEvent implements LogEvent {
    SERVER_LISTED(620, INFO, "A backend server is listed."),
    SERVER_LEFT(621, INFO, "A backend server leaves or is gone; it gets no new calls."),
    SERVER_UNREADABLE(622, WARNING, "An entry of the server list cannot be read; it is left out."),
    PLAN_IN_FORCE(623, INFO, "A new configuration version is in force."),
    PLAN_UNREADABLE(624, WARNING, "A configuration version cannot be read; it is not in force."),
    DOMAIN_DRAINED(625, INFO, "A failure domain is drained; its servers get no new calls."),
    DOMAIN_RETURNED(626, INFO, "A drained failure domain is back in service."),
    SERVER_PAUSED(627, INFO, "Calls to a backend server failed; it is left out for a while."),
    STORE_LOST(628, WARNING, "The platform's store does not answer; the last known state holds."),
    STORE_REGAINED(629, INFO, "The platform's store answers again."),
    LEASE_TAKEN(640, INFO, "This host orders loads from now on."),
    LEASE_LOST(641, WARNING, "This host no longer orders loads."),
    LEASE_WRITE_FAILED(642, WARNING, "The lease on orders could not be written."),
    ORDER_SENT(643, INFO, "An order to load or unload is sent."),
    ORDER_ANSWERED(644, DEBUG, "An order was answered."),
    ORDER_FAILED(645, WARNING, "An order was not accepted, or its outcome is unknown."),
    LOAD_FINISHED(646, INFO, "A load has finished."),
    REPORT_FAILED(647, DEBUG, "A backend server did not report."),
    CLOCKS_DISAGREE(
            648,
            WARNING,
            "The clocks of this host advanced differently; the lease waits for a renewal."),
    REGISTRATION_FAILED(649, WARNING, "This host could not be entered into the host list.");

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
