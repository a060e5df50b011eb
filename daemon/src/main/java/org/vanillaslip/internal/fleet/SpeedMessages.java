package org.vanillaslip.internal.fleet;

import java.util.List;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.RunningCalls;
import org.vanillaslip.messages.ServerState;

/** What demand reports and digests carry about the speed of servers. */
public interface SpeedMessages {

    /** Measures nothing, for hosts that treat all servers as equally fast. */
    SpeedMessages NONE =
            new SpeedMessages() {
                @Override
                public DemandReport takeGaps(DemandReport report) {
                    return withoutGapEntries(report);
                }

                @Override
                public void update() {}

                @Override
                public int percent(FleetMember server) {
                    return 0;
                }

                @Override
                public void handleStates(List<ServerState> states) {}

                @Override
                public void clear() {}
            };

    /**
     * Returns the report without entries of ended calls, which only carry event gaps. Hosts whose
     * settings do not measure speeds also get them, while the settings of the hosts differ.
     */
    static DemandReport withoutGapEntries(DemandReport report) {
        List<RunningCalls> running =
                report.getRunningList().stream()
                        .filter(calls -> calls.getCount() != 0 || calls.getGaps() == 0)
                        .toList();
        return running.size() == report.getRunningCount()
                ? report
                : report.toBuilder().clearRunning().addAllRunning(running).build();
    }

    /**
     * Records the event gaps of a report, as the lease holder, and returns the report without
     * entries that only carry gaps.
     */
    DemandReport takeGaps(DemandReport report);

    /** Estimates the speeds of all servers, as the lease holder. */
    void update();

    /** Returns the speed of a server in percent, or 0 if it is unknown. */
    int percent(FleetMember server);

    /** Handles the speeds that the lease holder has estimated. */
    void handleStates(List<ServerState> states);

    /** Forgets all gaps, on hosts that do not hold the lease. */
    void clear();
}
