package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.scaling.DomainView;

/** Finds the failure domains whose hosts or servers are not heard from. */
final class DomainViews {

    private final String mSelf;
    private final Supplier<? extends Collection<Host>> mHosts;
    private final Supplier<Set<String>> mLiveHosts;
    private final Predicate<FailureDomain> mIsDrained;
    private final EventLog mLog;
    private final Set<String> mDomainsWithHosts = new HashSet<>();
    private final Set<ScaledGroup> mGroupsWithServers = new HashSet<>();
    private Set<String> mHeardHosts = Set.of();
    private final Map<ScaledGroup, DomainView> mLogged = new HashMap<>();

    /**
     * Creates the views.
     *
     * @param liveHosts names of the other hosts that are heard from
     */
    DomainViews(
            String self,
            Supplier<? extends Collection<Host>> hosts,
            Supplier<Set<String>> liveHosts,
            Predicate<FailureDomain> isDrained,
            EventLog log) {
        mSelf = self;
        mHosts = hosts;
        mLiveHosts = liveHosts;
        mIsDrained = isDrained;
        mLog = log;
    }

    /** Finds the hosts that are heard from now. */
    void refresh() {
        mHeardHosts = mLiveHosts.get();
    }

    /**
     * Returns the view of a failure domain.
     *
     * @param servers listed servers of the pool in the failure domain
     * @param expected number of servers that should be listed
     */
    DomainView view(ScaledGroup group, List<FleetMember> servers, int expected) {
        DomainView view =
                mIsDrained.test(new FailureDomain(group.failureDomain()))
                        ? DomainView.DRAINED
                        : hearsHosts(group.failureDomain())
                                        && hearsServers(group, servers, expected)
                                ? DomainView.FOLLOWED
                                : DomainView.UNHEARD;
        DomainView before = mLogged.put(group, view);
        if (before != view && (before != null || view != DomainView.FOLLOWED)) {
            mLog.log(
                    ServerCountEvent.DOMAIN_VIEW_CHANGED,
                    field("pool", group.pool()),
                    field("failure_domain", group.failureDomain()),
                    field("view", view),
                    field("listed", servers.size()));
        }
        return view;
    }

    /** Returns whether the hosts of the failure domain are heard from, and it is in service. */
    boolean hearsHosts(ScaledGroup group) {
        return !mIsDrained.test(new FailureDomain(group.failureDomain()))
                && hearsHosts(group.failureDomain());
    }

    /** Hosts that are lost one by one are replaced; of a partitioned domain most are missing. */
    private boolean hearsHosts(String failureDomain) {
        int listed = 0;
        int live = 0;
        for (Host host : mHosts.get()) {
            if (host.failureDomain().name().equals(failureDomain) && !host.leaving()) {
                listed++;
                boolean isLive = host.name().equals(mSelf) || mHeardHosts.contains(host.name());
                live += isLive ? 1 : 0;
            }
        }
        if (live > 0) {
            mDomainsWithHosts.add(failureDomain);
        }
        return live > 0
                ? 2 * live >= listed
                : listed == 0 && !mDomainsWithHosts.contains(failureDomain);
    }

    /** A failure domain whose servers were all given back, or boot, has none to hear from. */
    private boolean hearsServers(ScaledGroup group, List<FleetMember> servers, int expected) {
        if (!servers.isEmpty()) {
            mGroupsWithServers.add(group);
            return !servers.stream().allMatch(server -> server.health().failing());
        }
        if (expected == 0) {
            mGroupsWithServers.remove(group);
        }
        return !mGroupsWithServers.contains(group);
    }
}
