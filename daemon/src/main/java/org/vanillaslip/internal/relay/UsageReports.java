package org.vanillaslip.internal.relay;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.vanillaslip.Host;
import org.vanillaslip.internal.duty.DutyCalls;
import org.vanillaslip.internal.duty.UsageExchange;
import org.vanillaslip.internal.duty.UsageMeter;
import org.vanillaslip.internal.duty.UsageRecord;
import org.vanillaslip.internal.duty.UsageReporter;
import org.vanillaslip.internal.duty.UsageSender;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.settings.Duty;
import org.vanillaslip.internal.settings.DutySettings;
import org.vanillaslip.internal.usage.UsageSource;
import org.vanillaslip.internal.usage.UsageWindows;

/** The components of the usage reports; they exist only where the settings name that duty. */
record UsageReports(UsageMeter meter, UsageReporter reporter, UsageExchange exchange) {

    static Optional<UsageReports> create(
            Optional<DutySettings> settings,
            Optional<DutyCalls> calls,
            UsageSource self,
            FleetLease lease,
            ObjectStore store,
            RelayNetwork network,
            Supplier<List<Host>> hosts,
            IntSupplier hostCount,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        if (calls.isEmpty()
                || settings.filter(duties -> duties.duties().contains(Duty.USAGE_REPORT))
                        .isEmpty()) {
            return Optional.empty();
        }
        DutySettings duties = settings.get();
        UsageMeter meter =
                new UsageMeter(
                        new UsageWindows(duties.usageWindow()), InstantSource.system(), loop);
        UsageReporter reporter =
                new UsageReporter(
                        self.host(),
                        lease,
                        meter,
                        new UsageRecord(store),
                        new UsageSender(
                                self.host(),
                                calls.get(),
                                lease::mayOrder,
                                duties.callsPerSecond(),
                                loop,
                                metrics,
                                log),
                        duties.usageDue(),
                        network::liveHosts,
                        () -> hosts.get().stream().map(Host::name).toList(),
                        loop,
                        metrics,
                        log);
        return Optional.of(
                new UsageReports(
                        meter,
                        reporter,
                        new UsageExchange(self, meter, reporter, hostCount, loop)));
    }
}
