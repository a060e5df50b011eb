package org.vanillaslip.internal.duty;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillaslip.Host;
import org.vanillaslip.internal.fleet.CallTarget;
import org.vanillaslip.internal.fleet.DemandReporter;
import org.vanillaslip.internal.fleet.DrainFollower;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.LoadController;
import org.vanillaslip.internal.fleet.PlanView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.settings.Duty;
import org.vanillaslip.internal.settings.DutySettings;

/** Connects the ordering of server numbers to the other components of a host. */
public final class ServerCountDuty {

    private ServerCountDuty() {}

    /**
     * Creates the controller of server numbers, if the settings switch the duty on.
     *
     * @param hosts listed hosts
     * @param liveHosts names of the other hosts that are heard from
     */
    public static Optional<ServerCountController> create(
            Optional<DutySettings> settings,
            Optional<DutyCalls> calls,
            String host,
            ObjectStore store,
            FleetLease lease,
            FleetDirectory directory,
            DrainFollower drains,
            PlanView plans,
            LoadController loads,
            DemandReporter demand,
            Supplier<? extends Collection<Host>> hosts,
            Supplier<Set<String>> liveHosts,
            Consumer<List<ServerCountGauge>> gauges,
            DecisionLoop loop,
            EventLog log) {
        if (calls.isEmpty()
                || settings.filter(found -> found.duties().contains(Duty.AUTOSCALE)).isEmpty()) {
            return Optional.empty();
        }
        DomainViews views = new DomainViews(host, hosts, liveHosts, drains::isDrained, log);
        PoolObserver observer =
                new PoolObserver(directory, views, () -> hasScaledPool(plans), loop);
        ServerCountController controller =
                new ServerCountController(
                        host,
                        lease,
                        directory,
                        plans,
                        observer,
                        new ServerCountRecord(store),
                        new ServerCountSender(
                                calls.get(), settings.get().callsPerSecond(), loop, log),
                        gauges,
                        loop,
                        log);
        demand.reportAllCallsOf(target -> isScaled(plans, target));
        loads.onDemand(controller::recordDemand);
        return Optional.of(controller);
    }

    private static boolean hasScaledPool(PlanView plans) {
        return plans.current()
                .filter(
                        plan ->
                                plan.pools().values().stream()
                                        .anyMatch(pool -> pool.scaling().isPresent()))
                .isPresent();
    }

    /** Calls without a model need no load, so engines have nothing to report about them. */
    private static boolean isScaled(PlanView plans, CallTarget target) {
        return plans.current()
                .map(plan -> plan.pools().get(target.pool()))
                .filter(pool -> pool.scaling().isPresent())
                .filter(pool -> isCountable(pool, target))
                .isPresent();
    }

    private static boolean isCountable(ServicePool pool, CallTarget target) {
        return pool.engine().isEmpty() || target.model().isPresent();
    }
}
