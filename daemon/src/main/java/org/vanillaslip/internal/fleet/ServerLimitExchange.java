package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Creates and starts what keeps to what servers say of themselves, such as their limits. */
public final class ServerLimitExchange {

    private final FleetDirectory mDirectory;
    private final DecisionLoop mLoop;
    private final ServerLimits mLimits;
    private final ServerNotices mNotices;
    private final SendPermitExchange mPermits;

    /** Creates the exchange without starting it. */
    public ServerLimitExchange(
            FleetDirectory directory,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mDirectory = directory;
        mLoop = loop;
        mLimits = new ServerLimits(directory, links, loop, metrics, log);
        mNotices = new ServerNotices(directory, mLimits, loop, metrics, log);
        mPermits = new SendPermitExchange(directory, mLimits, network, links, loop, metrics, log);
    }

    /** Starts the exchange with other hosts, and to listen to engines. */
    public void start(EngineControl engines) {
        mLimits.start();
        mPermits.start();
        engines.onNotice(
                (server, notice, sinceSent) ->
                        mLoop.scheduler().schedule(() -> record(server, notice, sinceSent)));
    }

    private void record(RegisteredServer server, ServerNotice notice, Duration sinceSent) {
        mDirectory
                .member(server.instance())
                .filter(member -> member.registered().startedAtMillis() == server.startedAtMillis())
                .ifPresent(
                        member ->
                                mNotices.record(
                                        member,
                                        notice,
                                        mLoop.clock().nowNanos() - sinceSent.toNanos()));
    }

    /** Returns the recorder of what servers say in their answers. */
    public ServerNotices notices() {
        return mNotices;
    }

    /** Returns the source of permits for servers with a limit. */
    public PermitSource permits() {
        return mPermits;
    }
}
