package org.vanillaslip.internal.proofs.measures;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.vanillaslip.Configuration;

/** A whole deployment in virtual time: failure domains, weight store, load balancer. */
final class SimulatedDeployment {

    private final EventQueue mEvents;
    private final List<SimulatedDomain> mDomains = new ArrayList<>();
    private final Set<Integer> mNotRouted = new HashSet<>();
    private final List<SimulatedRequest> mRequests = new ArrayList<>();
    private final Fleet mFleet;
    private final WeightStore mWeights;
    private Configuration mConfiguration;

    SimulatedDeployment(DeploymentSize size, KeepAliveVariant variant, long startNanos, long seed) {
        mEvents = new EventQueue(startNanos);
        mFleet = new Fleet(size, seed);
        mConfiguration = mFleet.configuration(1, Set.of());
        mWeights = new WeightStore(mEvents, size.weightStore());
        RecordStore records = new RecordStore();
        for (String domain : mFleet.domains()) {
            mDomains.add(
                    new SimulatedDomain(
                            mEvents,
                            records,
                            mWeights,
                            size,
                            domain,
                            mFleet.servers(domain),
                            () -> mConfiguration,
                            variant));
        }
    }

    EventQueue events() {
        return mEvents;
    }

    SimulatedDomain domain(int index) {
        return mDomains.get(index);
    }

    List<SimulatedRequest> requests() {
        return mRequests;
    }

    List<SimulatedServer> servers() {
        return mDomains.stream().flatMap(domain -> domain.servers().stream()).toList();
    }

    int mostRemoteLoads() {
        return mWeights.mostInFlight();
    }

    /** Puts a configuration with these drained domains in force. */
    void drain(Set<String> drained) {
        mConfiguration = mFleet.configuration(mConfiguration.version() + 1, drained);
    }

    /** Tells the load balancer whether to send requests to the domain. */
    void route(int domain, boolean routed) {
        if (routed) {
            mNotRouted.remove(domain);
        } else {
            mNotRouted.add(domain);
        }
    }

    void run(List<Arrival> arrivals, long endNanos) {
        for (Arrival arrival : arrivals) {
            mEvents.at(arrival.nanos(), () -> arrive(arrival));
        }
        mEvents.runUntil(endNanos);
    }

    private void arrive(Arrival arrival) {
        List<SimulatedDomain> routed =
                IntStream.range(0, mDomains.size())
                        .filter(index -> !mNotRouted.contains(index))
                        .mapToObj(mDomains::get)
                        .collect(Collectors.toList());
        SimulatedRequest request = new SimulatedRequest(arrival);
        mRequests.add(request);
        routed.get(arrival.entry() % routed.size()).accept(request);
    }
}
