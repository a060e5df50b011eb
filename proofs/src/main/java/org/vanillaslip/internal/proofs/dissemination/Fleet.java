package org.vanillaslip.internal.proofs.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Numbered hosts, distributed evenly over failure domains.
 *
 * @param hostCount number of hosts
 * @param failureDomainCount number of failure domains
 */
public record Fleet(int hostCount, int failureDomainCount) {

    private static final int RELAYS_PER_DOMAIN = 2;

    List<Integer> hosts() {
        return IntStream.range(0, hostCount).boxed().toList();
    }

    List<Integer> others(int host, boolean[] detectedFailures) {
        return IntStream.range(0, hostCount)
                .filter(other -> other != host && !detectedFailures[other])
                .boxed()
                .toList();
    }

    int firstLive(boolean[] detectedFailures, List<Integer> hosts) {
        return hosts.stream().filter(host -> !detectedFailures[host]).findFirst().orElse(0);
    }

    private List<Integer> relaysOf(int domain, boolean[] detectedFailures) {
        return IntStream.range(0, hostCount)
                .filter(host -> host % failureDomainCount == domain && !detectedFailures[host])
                .limit(RELAYS_PER_DOMAIN)
                .boxed()
                .toList();
    }

    List<Integer> relayReceivers(int host, boolean[] detectedFailures) {
        int own = host % failureDomainCount;
        List<Integer> ownRelays = relaysOf(own, detectedFailures);
        if (!ownRelays.contains(host)) {
            return ownRelays;
        }
        List<Integer> neighbours = new ArrayList<>();
        for (int domain = 0; domain < failureDomainCount; domain++) {
            if (domain != own) {
                neighbours.addAll(relaysOf(domain, detectedFailures));
            }
        }
        IntStream.range(0, hostCount)
                .filter(
                        other ->
                                other % failureDomainCount == own
                                        && other != host
                                        && !detectedFailures[other])
                .forEach(neighbours::add);
        return neighbours;
    }
}
