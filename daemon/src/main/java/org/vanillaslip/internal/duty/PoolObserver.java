package org.vanillaslip.internal.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.scaling.DomainServers;
import org.vanillaslip.internal.scaling.DomainView;
import org.vanillaslip.internal.scaling.PoolObservation;
import org.vanillaslip.internal.scaling.RecentModels;
import org.vanillaslip.internal.scaling.ServerCountPlanner;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;
import org.vanillaslip.internal.serving.ServerScaling;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.messages.DemandReport;

/** Gathers what the lease holder knows of the demand on a pool and of its servers. */
final class PoolObserver {

    private final FleetDirectory mDirectory;
    private final DomainViews mViews;
    private final BooleanSupplier mActive;
    private final DecisionLoop mLoop;
    private final ReportedDemand mDemand;
    private final Set<ScaledGroup> mFollowed = new HashSet<>();

    /**
     * Creates an observer without demand.
     *
     * @param active whether this host needs the demand of others
     */
    PoolObserver(
            FleetDirectory directory,
            DomainViews views,
            BooleanSupplier active,
            DecisionLoop loop) {
        mDirectory = directory;
        mViews = views;
        mActive = active;
        mLoop = loop;
        mDemand = new ReportedDemand(directory);
    }

    void recordDemand(String host, DemandReport report) {
        if (mActive.getAsBoolean()) {
            mDemand.record(host, report, now());
        }
    }

    /** Prepares the observation of all pools at this moment. */
    void refresh() {
        mDemand.removeExpired(now());
        mDemand.sumUp();
        mViews.refresh();
    }

    void clear() {
        mDemand.clear();
        mFollowed.clear();
    }

    /** Returns whether the failure domain was heard from at the last observation. */
    boolean isFollowed(ScaledGroup group) {
        return mFollowed.contains(group);
    }

    /** Returns whether the hosts of the failure domain are heard from, and it is in service. */
    boolean hearsHosts(ScaledGroup group) {
        return mViews.hearsHosts(group);
    }

    /** Returns the number of listed servers that do not leave. */
    int ready(ScaledGroup group) {
        return (int)
                mDirectory.members().stream()
                        .filter(member -> isIn(member, group))
                        .filter(FleetMember::inService)
                        .count();
    }

    private static boolean isIn(FleetMember member, ScaledGroup group) {
        return member.registered().pool().equals(group.pool())
                && member.registered().failureDomain().name().equals(group.failureDomain());
    }

    PoolObservation observe(ServicePool pool, ServerCountPlanner planner) {
        Map<String, List<FleetMember>> servers = new TreeMap<>();
        planner.failureDomains().forEach(domain -> servers.put(domain, new ArrayList<>()));
        int count = 0;
        int slots = 0;
        for (FleetMember member : mDirectory.members()) {
            if (member.registered().pool().equals(pool.name())) {
                String domain = member.registered().failureDomain().name();
                servers.computeIfAbsent(domain, name -> new ArrayList<>()).add(member);
                slots += member.registered().requestSlots();
                count++;
            }
        }
        List<DomainServers> domains = new ArrayList<>();
        servers.forEach((domain, members) -> domains.add(toDomain(pool, domain, members, planner)));
        Map<String, Integer> running = mDemand.runningByModel(pool.name());
        Map<String, Integer> waiting = mDemand.waitingByModel(pool.name());
        int averageSlots = count == 0 ? 1 : Math.max(1, slots / count);
        RecentModels models = mDemand.models(pool.name());
        return new PoolObservation(
                sum(running),
                sum(waiting),
                pool.engine().map(EngineProfile::requestSlots).orElse(averageSlots),
                models.count(),
                pool.engine()
                        .map(
                                profile ->
                                        models.engines(
                                                profile,
                                                merge(running, waiting),
                                                startTime(pool, profile),
                                                now()))
                        .orElse(0.0),
                pool.engine().map(RecentModels::enginesForAll).orElse(0.0),
                pool.engine().map(PoolObserver::loadTime).orElse(Duration.ZERO),
                domains);
    }

    private DomainServers toDomain(
            ServicePool pool,
            String domain,
            List<FleetMember> members,
            ServerCountPlanner planner) {
        long now = now();
        ScaledGroup group = new ScaledGroup(pool.name(), domain);
        DomainView view = mViews.view(group, members, planner.servers(domain));
        if (view == DomainView.FOLLOWED) {
            mFollowed.add(group);
        } else {
            mFollowed.remove(group);
        }
        int ready = 0;
        int cold = 0;
        Set<String> leaving = new HashSet<>();
        for (FleetMember member : members) {
            if (member.inService()) {
                ready++;
                cold += member.isCold(now) ? 1 : 0;
            } else {
                leaving.add(member.startId());
            }
        }
        return new DomainServers(domain, view, ready, cold, leaving);
    }

    private static int sum(Map<String, Integer> calls) {
        return calls.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Map<String, Integer> merge(
            Map<String, Integer> running, Map<String, Integer> waiting) {
        Map<String, Integer> calls = new HashMap<>(running);
        waiting.forEach((model, count) -> calls.merge(model, count, Integer::sum));
        return calls;
    }

    private static Duration startTime(ServicePool pool, EngineProfile profile) {
        return pool.scaling()
                .map(ServerScaling::bootTime)
                .orElse(Duration.ZERO)
                .plus(loadTime(profile));
    }

    /** A new server has nothing on its disk. */
    private static Duration loadTime(EngineProfile profile) {
        return Duration.ofMillis(
                (long)
                        profile.models().values().stream()
                                .map(ModelProfile::storeLoadTime)
                                .mapToLong(Duration::toMillis)
                                .average()
                                .orElse(0));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
