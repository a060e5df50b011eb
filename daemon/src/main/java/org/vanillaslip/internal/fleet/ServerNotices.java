package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Records what servers say of themselves in the heads of their answers. */
public final class ServerNotices {

    private final FleetDirectory mDirectory;
    private final ServerLimits mLimits;
    private final DecisionLoop mLoop;
    private final DaemonMetrics mMetrics;
    private final EventLog mLog;

    /** Creates the recorder of one host. */
    ServerNotices(
            FleetDirectory directory,
            ServerLimits limits,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mDirectory = directory;
        mLimits = limits;
        mLoop = loop;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Records the notice of an answer, whatever its status.
     *
     * @param server start of the server that answered
     * @param sentNanos time at which the request was sent
     */
    public void record(FleetMember server, ServerNotice notice, long sentNanos) {
        mLimits.record(server, notice, sentNanos);
        notice.pause().ifPresent(pause -> recordPause(server, pause, sentNanos));
        if (notice.leaving() && server.recordLeaving()) {
            mMetrics.serverSaidLeaving();
            mLog.log(
                    FleetEvent.LEAVING_SAID,
                    field("server", server.instance()),
                    field("born", server.registered().startedAtMillis()),
                    field("listed_leaving", server.registered().leaving()),
                    field("source", "answer"),
                    field("age_ms", (mLoop.clock().nowNanos() - sentNanos) / 1_000_000));
            mDirectory.changed();
        }
    }

    private void recordPause(FleetMember server, Duration asked, long sentNanos) {
        long now = mLoop.clock().nowNanos();
        if (server.pause().record(asked, server.health(), now)) {
            mMetrics.serverPauseAsked();
            mLog.log(
                    FleetEvent.PAUSE_ASKED,
                    field("server", server.instance()),
                    field("born", server.registered().startedAtMillis()),
                    field("pause_ms", server.pause().remaining(now).toMillis()),
                    field("source", "answer"),
                    field("age_ms", (now - sentNanos) / 1_000_000));
        }
    }
}
