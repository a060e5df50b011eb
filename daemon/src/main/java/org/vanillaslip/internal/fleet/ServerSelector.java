package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.membership.RendezvousRanking;
import org.vanillaslip.internal.routing.RankedServer;
import org.vanillaslip.internal.routing.ServerRanking;
import org.vanillaslip.internal.routing.SuspectedDomains;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.serving.ServingPlan;

/** Selects the server of a call and reserves a request slot on it. */
public final class ServerSelector {

    /** A model engine queues a few calls beyond its request slots; more wait on this host. */
    private static final double ENGINE_QUEUE_FACTOR = 1.25;

    private final FleetDirectory mDirectory;
    private final PlanView mPlans;
    private final FailureDomain mFailureDomain;
    private final IntSupplier mHosts;
    private final LimitedServers mLimited;
    private final DecisionLoop mLoop;
    private final RandomGenerator mRandom;
    private final RendezvousRanking mAffinity = new RendezvousRanking();

    /**
     * Creates a selector for the calls of one host.
     *
     * @param failureDomain failure domain of this host, whose servers are preferred
     * @param hosts number of hosts that may send calls, including this host
     * @param permits source of permits for servers that limit their requests
     */
    public ServerSelector(
            FleetDirectory directory,
            PlanView plans,
            FailureDomain failureDomain,
            IntSupplier hosts,
            PermitSource permits,
            DecisionLoop loop,
            RandomGenerator random) {
        mDirectory = directory;
        mPlans = plans;
        mFailureDomain = failureDomain;
        mHosts = hosts;
        mLimited = new LimitedServers(permits);
        mLoop = loop;
        mRandom = random;
    }

    /** Reserves a request slot, or returns empty if none is available. */
    public Optional<RequestSlot> reserveSlot(ServerRequest request) {
        long now = mLoop.clock().nowNanos();
        SuspectedDomains suspected = new SuspectedDomains();
        for (FleetMember member : mDirectory.inService(request.target().pool())) {
            suspected.addServer(member.registered().failureDomain(), member.health(), now);
        }
        List<FleetMember> servers = serversWith(request.target());
        mLimited.requestConfirmations(servers, now);
        List<FleetMember> available =
                mLimited.preferred(
                        withoutSilent(
                                servers.stream()
                                        .filter(
                                                member ->
                                                        !request.failedServers()
                                                                .contains(member.instance()))
                                        .filter(member -> hasRoom(member, request.target(), now))
                                        .toList(),
                                now),
                        now);
        Optional<String> affinityInstance =
                request.promptPart()
                        .flatMap(
                                part ->
                                        mAffinity.first(
                                                part,
                                                available.stream()
                                                        .map(FleetMember::instance)
                                                        .toList()));
        return ServerRanking.best(
                        available.stream()
                                .map(
                                        member ->
                                                toRankedServer(
                                                        member, affinityInstance, suspected, now))
                                .toList(),
                        mHosts.getAsInt(),
                        mRandom)
                .flatMap(choice -> mDirectory.member(choice.instance()))
                .map(
                        member ->
                                member.reserveSlot(
                                        request.target().model(),
                                        coldCallsPerSecond(request.target().pool()),
                                        mHosts.getAsInt(),
                                        now));
    }

    /** Returns whether a server that can serve the target has room for a call. */
    boolean hasRoom(CallTarget target) {
        long now = now();
        return serversWith(target).stream().anyMatch(member -> hasRoom(member, target, now));
    }

    /** Returns whether no server that can serve the target will take more calls than now soon. */
    boolean isCapacitySteady(CallTarget target) {
        long now = now();
        return serversWith(target).stream()
                .noneMatch(
                        member ->
                                member.isCold(now)
                                        || member.pause().holds(now)
                                        || !member.health().usable(now));
    }

    /** Returns whether the configuration names several priorities, by which calls are ranked. */
    boolean ranksCalls() {
        return mPlans.current().map(ServingPlan::hasSeveralPriorities).orElse(false);
    }

    /** A silent server gets a call only if no other server can take it. */
    private static List<FleetMember> withoutSilent(List<FleetMember> available, long nowNanos) {
        List<FleetMember> heard =
                available.stream().filter(member -> !member.health().silent(nowNanos)).toList();
        return heard.isEmpty() ? available : heard;
    }

    /** Returns the servers in service that can serve the target, including those at capacity. */
    public List<FleetMember> serversWith(CallTarget target) {
        long now = mLoop.clock().nowNanos();
        return mDirectory.inService(target.pool()).stream()
                .filter(
                        member ->
                                target.model()
                                        .map(name -> member.hasLoaded(name, now))
                                        .orElse(true))
                .toList();
    }

    /** Returns whether all servers of the target's pool leave, so that none will get calls. */
    boolean allLeaving(CallTarget target) {
        return mDirectory.allLeaving(target.pool());
    }

    /**
     * Requests permits for calls that wait, because no server without a limit has room.
     *
     * @param calls number of waiting calls
     * @param deadlineNanos latest useful time of the most urgent one
     */
    void requestPermits(CallTarget target, int calls, long deadlineNanos) {
        if (LimitedServers.hasLimited(mDirectory.members())) {
            List<FleetMember> servers =
                    serversWith(target).stream().filter(one -> hasSlot(one, target)).toList();
            mLimited.requestPermits(servers, calls, deadlineNanos, now());
        }
    }

    /** Returns when calls can be sent, if only servers that limit their requests can take them. */
    Optional<LimitedCapacity> limitedCapacity(CallTarget target) {
        return LimitedServers.hasLimited(mDirectory.members())
                ? mLimited.capacity(serversWith(target), now())
                : Optional.empty();
    }

    /** Returns the time until the first pause ends, if all usable servers have asked for one. */
    Optional<Duration> pauseOfAll(CallTarget target) {
        long now = now();
        Optional<Duration> first = Optional.empty();
        for (FleetMember server : serversWith(target)) {
            if (server.pause().holds(now)) {
                Duration remaining = server.pause().remaining(now);
                first =
                        first.filter(one -> one.compareTo(remaining) <= 0)
                                .or(() -> Optional.of(remaining));
            } else if (!server.health().failing()) {
                return Optional.empty();
            }
        }
        return first;
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }

    private static boolean hasRoom(FleetMember member, CallTarget target, long nowNanos) {
        return hasSlot(member, target) && member.canAcceptCall(nowNanos);
    }

    private static boolean hasSlot(FleetMember member, CallTarget target) {
        return target.model().isEmpty()
                || member.activeCalls() < member.registered().requestSlots() * ENGINE_QUEUE_FACTOR;
    }

    private RankedServer toRankedServer(
            FleetMember member,
            Optional<String> affinityInstance,
            SuspectedDomains suspected,
            long nowNanos) {
        return new RankedServer(
                member.instance(),
                member.activeCalls(),
                member.registered().requestSlots(),
                member.registered().failureDomain().equals(mFailureDomain),
                affinityInstance.equals(Optional.of(member.instance())),
                suspected.isSuspected(
                        member.registered().failureDomain(), member.health(), nowNanos),
                member.speed().speed(nowNanos));
    }

    private double coldCallsPerSecond(String pool) {
        return mPlans.current()
                .map(plan -> plan.pools().get(pool))
                .map(ServicePool::coldCallsPerSecond)
                .orElse(0.0);
    }
}
