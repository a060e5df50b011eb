package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.settings.RoutingSettings;
import org.vanillaslip.internal.settings.ServerSpeed;
import org.vanillaslip.internal.speed.MeasuredServer;
import org.vanillaslip.internal.speed.MeasuredSpeed;
import org.vanillaslip.internal.speed.ServerSpeeds;
import org.vanillaslip.internal.speed.SpeedChange;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.RunningCalls;
import org.vanillaslip.messages.ServerState;

/**
 * Estimates the speeds of servers on the lease holder, from the event gaps that all hosts report,
 * and applies them to the servers that calls are sent to.
 */
public final class ServerSpeedExchange implements SpeedMessages {

    private static final double MICROS_PER_MILLI = 1000;

    private final ServerSpeeds mSpeeds = new ServerSpeeds();
    private final FleetDirectory mDirectory;
    private final DecisionLoop mLoop;
    private final Consumer<List<MeasuredSpeed>> mGauges;
    private final EventLog mLog;

    ServerSpeedExchange(
            FleetDirectory directory,
            DecisionLoop loop,
            Consumer<List<MeasuredSpeed>> gauges,
            EventLog log) {
        mDirectory = directory;
        mLoop = loop;
        mGauges = gauges;
        mLog = log;
    }

    /** Measures the speeds of servers if the settings say so; called before the start. */
    public static void connect(
            RoutingSettings settings,
            FleetExchange exchange,
            DemandReporter reporter,
            FleetDirectory directory,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        if (settings.serverSpeed() == ServerSpeed.MEASURED) {
            reporter.measureEventGaps();
            exchange.setSpeeds(
                    new ServerSpeedExchange(directory, loop, metrics.serverSpeeds()::show, log));
        }
    }

    @Override
    public DemandReport takeGaps(DemandReport report) {
        long now = mLoop.clock().nowNanos();
        report.getRunningList().forEach(calls -> recordGaps(calls, now));
        return SpeedMessages.withoutGapEntries(report);
    }

    /** Only listed servers are recorded, so that the sums stay bounded. */
    private void recordGaps(RunningCalls calls, long nowNanos) {
        mDirectory
                .member(calls.getServer())
                .filter(member -> calls.getGaps() != 0)
                .filter(member -> isSameStart(member, calls.getBornMillis()))
                .ifPresent(
                        member ->
                                mSpeeds.record(
                                        measuredServer(member),
                                        calls.getModel(),
                                        calls.getGaps(),
                                        calls.getGapSumMicros() / MICROS_PER_MILLI,
                                        nowNanos));
    }

    @Override
    public void update() {
        long now = mLoop.clock().nowNanos();
        mSpeeds.retain(
                mDirectory.members().stream()
                        .map(ServerSpeedExchange::measuredServer)
                        .collect(Collectors.toSet()));
        mSpeeds.update(now).forEach(this::logChange);
        mDirectory.members().forEach(member -> member.speed().record(percent(member), now));
        mGauges.accept(mSpeeds.speeds());
    }

    private void logChange(SpeedChange change) {
        mLog.log(
                SpeedEvent.SPEED_CHANGED,
                field("server", change.server().instance()),
                field("pool", change.server().pool()),
                field("from", change.from()),
                field("to", change.to()),
                field("speed_percent", toPercent(change.speed())));
    }

    @Override
    public int percent(FleetMember server) {
        return mSpeeds.speed(measuredServer(server)).map(ServerSpeedExchange::toPercent).orElse(0);
    }

    private static int toPercent(double speed) {
        return (int) Math.round(speed * 100);
    }

    @Override
    public void handleStates(List<ServerState> states) {
        long now = mLoop.clock().nowNanos();
        for (ServerState state : states) {
            mDirectory
                    .member(state.getServer())
                    .filter(member -> isSameStart(member, state.getBornMillis()))
                    .ifPresent(member -> member.speed().record(state.getSpeedPercent(), now));
        }
    }

    private static boolean isSameStart(FleetMember member, long bornMillis) {
        return member.registered().startedAtMillis() == bornMillis;
    }

    @Override
    public void clear() {
        mSpeeds.clear();
        mGauges.accept(List.of());
    }

    private static MeasuredServer measuredServer(FleetMember member) {
        return new MeasuredServer(
                member.registered().pool(),
                member.instance(),
                member.registered().startedAtMillis());
    }
}
