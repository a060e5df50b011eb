package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.vanillaslip.internal.serving.ServerScaling;

/**
 * Decides the number of servers of a pool in each failure domain. The need is that of the whole
 * pool, since calls and loads go to servers of all failure domains. It is met at once by the
 * domains with the fewest servers; a surplus is given back slowly by those with the most.
 */
public final class ServerCountPlanner {

    /** Covers two waves of 17 s, so that each trough is followed by a peak within it. */
    static final Duration HOLD_TIME = Duration.ofSeconds(40);

    /** By then the effect of a step shows in the demand. */
    static final Duration STEP_INTERVAL = Duration.ofSeconds(10);

    /** All hosts have reported their demand, and all servers have renewed their entries. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    /**
     * Time in which callers may ask for any configured model. Callers of a model that no server
     * holds wait for a load, and for a boot before it if no server has room; servers that are
     * ordered when the calls come are too late for them.
     */
    static final Duration FIRST_DEMAND_TIME = Duration.ofSeconds(60);

    /** A server that is needed again this soon was given back too early. */
    private static final Duration EARLY_RETURN_TIME = Duration.ofMinutes(2);

    /** Demand that repeats less often is followed. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    /** A surplus must be larger than the noise of the need, or the step is soon taken back. */
    private static final double SURPLUS_MARGIN = 1.15;

    private final CallTrend mTrend = new CallTrend();
    private final SlidingMaximum mPeakNeed = new SlidingMaximum(HOLD_TIME);
    private final Map<String, DomainCount> mDomains = new TreeMap<>();
    private Set<String> mFollowed = Set.of();
    private long mSettledAt = Long.MAX_VALUE;
    private long mObservedSince;
    private long mSteppedAt;
    private long mGivenBackAt;
    private long mGiveBackAllowedAt;
    private Duration mGiveBackPause = Duration.ZERO;
    private boolean mGivenBack;
    private boolean mNeededAgain;
    private boolean mPlanned;
    private long mDemandKnownAt;
    private ServerNeed mNeed = ServerNeed.NONE;

    /** Forgets the observed demand; numbers that were decided or restored stay. */
    public void restart() {
        mFollowed = Set.of();
        mSettledAt = Long.MAX_VALUE;
        mNeed = ServerNeed.NONE;
        mDomains.values().forEach(DomainCount::forgetLeaving);
    }

    /** Continues from a number that was ordered earlier. */
    public void restore(String failureDomain, int servers) {
        domain(failureDomain).decide(servers);
    }

    /** Returns the numbers that were decided or restored, by failure domain. */
    public Map<String, Integer> decided() {
        Map<String, Integer> decided = new TreeMap<>();
        mDomains.forEach(
                (name, domain) -> {
                    if (domain.decided()) {
                        decided.put(name, domain.servers());
                    }
                });
        return decided;
    }

    /** Returns the number of servers that a failure domain should have; 0 if it is unknown. */
    public int servers(String failureDomain) {
        DomainCount domain = mDomains.get(failureDomain);
        return domain == null ? 0 : domain.servers();
    }

    /** Returns the failure domains that are or were known to have servers. */
    public Set<String> failureDomains() {
        return Set.copyOf(mDomains.keySet());
    }

    /** Returns the need that was found by the last call of {@link #plan}. */
    public ServerNeed need() {
        return mNeed;
    }

    /** Returns the changes that the observation calls for, which are decided by this call. */
    public List<ServerCountChange> plan(
            ServerScaling limits, PoolObservation observation, long nowNanos) {
        for (DomainServers servers : observation.domains()) {
            domain(servers.failureDomain()).observe(servers, limits, nowNanos);
        }
        Set<String> followed = new HashSet<>();
        boolean allHeard = true;
        for (DomainServers servers : observation.domains()) {
            if (servers.view() == DomainView.FOLLOWED) {
                followed.add(servers.failureDomain());
            }
            allHeard &= servers.view() != DomainView.UNHEARD;
        }
        if (!followed.equals(mFollowed)) {
            // Demand of hosts that are no longer heard from is still counted for a moment.
            mFollowed = followed;
            mSettledAt = nowNanos + SETTLING_TIME.toNanos();
            mObservedSince = mSettledAt;
            mTrend.clear();
            mPeakNeed.clear();
        }
        if (followed.isEmpty() || mSettledAt == Long.MAX_VALUE || nowNanos - mSettledAt < 0) {
            return List.of();
        }
        return planSettled(limits, observation, allHeard, nowNanos);
    }

    private List<ServerCountChange> planSettled(
            ServerScaling limits, PoolObservation observation, boolean allHeard, long nowNanos) {
        if (!mPlanned) {
            mPlanned = true;
            // Recorded numbers follow the demand that an earlier holder has observed.
            mDemandKnownAt =
                    decided().isEmpty() ? nowNanos + FIRST_DEMAND_TIME.toNanos() : nowNanos;
        }
        mTrend.record(observation.running() + observation.waiting(), nowNanos);
        double expectedCalls = mTrend.expectedAfter(limits.bootTime().plus(observation.loadTime()));
        int missing = followed().stream().mapToInt(DomainCount::leavingAtShortNotice).sum();
        mNeed =
                new ServerNeed(
                        expectedCalls,
                        CallCapacity.servers(expectedCalls, observation.slotsPerServer()),
                        observation.modelEngines(),
                        nowNanos - mDemandKnownAt < 0 ? observation.configuredEngines() : 0,
                        missing);
        mPeakNeed.record(mNeed.total(), nowNanos);
        List<ServerCountChange> changes = meetShortage(limits);
        if (!changes.isEmpty()) {
            mSteppedAt = nowNanos;
            pauseGivingBack(nowNanos);
        } else if (allHeard && nowNanos - mObservedSince >= HOLD_TIME.toNanos()) {
            giveBack(limits, nowNanos).ifPresent(changes::add);
        }
        return changes;
    }

    /** Waits longer each time that a server is needed again soon after it was given back. */
    private void pauseGivingBack(long nowNanos) {
        if (!mGivenBack) {
            return;
        }
        if (mNeededAgain) {
            // The same step back; a shortage that is met in several steps is one return.
            mGiveBackAllowedAt = nowNanos + mGiveBackPause.toNanos();
            return;
        }
        mNeededAgain = true;
        if (nowNanos - mGivenBackAt - mGiveBackPause.toNanos() < EARLY_RETURN_TIME.toNanos()) {
            Duration doubled = mGiveBackPause.multipliedBy(2);
            Duration longer =
                    doubled.compareTo(EARLY_RETURN_TIME) < 0 ? EARLY_RETURN_TIME : doubled;
            mGiveBackPause = longer.compareTo(MAX_PAUSE) < 0 ? longer : MAX_PAUSE;
        } else {
            mGiveBackPause = Duration.ZERO;
        }
        mGiveBackAllowedAt = nowNanos + mGiveBackPause.toNanos();
    }

    private List<ServerCountChange> meetShortage(ServerScaling limits) {
        Map<DomainCount, Integer> before = new LinkedHashMap<>();
        Collection<DomainCount> followed = followed();
        int needed = roundedUp(mNeed.total());
        while (total(followed) < needed) {
            Optional<DomainCount> smallest =
                    followed.stream()
                            .filter(domain -> domain.servers() < limits.maxServers())
                            .min(
                                    Comparator.comparingInt(DomainCount::remaining)
                                            .thenComparing(DomainCount::name));
            if (smallest.isEmpty()) {
                break;
            }
            before.putIfAbsent(smallest.get(), smallest.get().servers());
            smallest.get().decide(Math.max(limits.minServers(), smallest.get().servers() + 1));
        }
        List<ServerCountChange> changes = new ArrayList<>();
        before.forEach(
                (domain, servers) ->
                        changes.add(
                                new ServerCountChange(
                                        domain.name(), servers, domain.servers(), mNeed.reason())));
        return changes;
    }

    private Optional<ServerCountChange> giveBack(ServerScaling limits, long nowNanos) {
        Collection<DomainCount> followed = followed();
        boolean surplus = roundedUp(mPeakNeed.maximum() * SURPLUS_MARGIN) <= total(followed) - 1;
        boolean paused =
                nowNanos - mSteppedAt < STEP_INTERVAL.toNanos()
                        || mGivenBack && nowNanos - mGiveBackAllowedAt < 0;
        if (!surplus || paused) {
            return Optional.empty();
        }
        Optional<DomainCount> largest =
                followed.stream()
                        .filter(domain -> domain.servers() > limits.minServers())
                        .max(
                                Comparator.comparingInt(DomainCount::servers)
                                        .thenComparing(DomainCount::name));
        return largest.map(
                domain -> {
                    int before = domain.servers();
                    domain.giveBackOne(nowNanos);
                    mSteppedAt = nowNanos;
                    mGivenBackAt = nowNanos;
                    mNeededAgain = false;
                    if (!mGivenBack) {
                        mGivenBack = true;
                        mGiveBackAllowedAt = nowNanos;
                    }
                    return new ServerCountChange(
                            domain.name(), before, domain.servers(), ServerCountReason.SURPLUS);
                });
    }

    private Collection<DomainCount> followed() {
        return mFollowed.stream().map(this::domain).toList();
    }

    private static int total(Collection<DomainCount> domains) {
        return domains.stream().mapToInt(DomainCount::servers).sum();
    }

    /** Rounds up, apart from errors of the floating-point sum. */
    private static int roundedUp(double servers) {
        return (int) Math.ceil(servers - 1e-6);
    }

    private DomainCount domain(String name) {
        return mDomains.computeIfAbsent(name, DomainCount::new);
    }
}
