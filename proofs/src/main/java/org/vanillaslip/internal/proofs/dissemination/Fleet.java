package org.vanillaslip.internal.proofs.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Hosts with numbers, spread evenly over failure domains.
 *
 * @param size number of hosts
 * @param domains number of failure domains
 */
public record Fleet(int size, int domains) {

    private static final int RELAYS = 2;

    List<Integer> hosts() {
        return IntStream.range(0, size).boxed().toList();
    }

    List<Integer> others(int host, boolean[] lost) {
        return IntStream.range(0, size)
                .filter(other -> other != host && !lost[other])
                .boxed()
                .toList();
    }

    int firstNot(boolean[] lost, List<Integer> hosts) {
        return hosts.stream().filter(host -> !lost[host]).findFirst().orElse(0);
    }

    private List<Integer> relaysOf(int domain, boolean[] lost) {
        return IntStream.range(0, size)
                .filter(host -> host % domains == domain && !lost[host])
                .limit(RELAYS)
                .boxed()
                .toList();
    }

    List<Integer> relayNeighbours(int host, boolean[] lost) {
        int own = host % domains;
        List<Integer> ownRelays = relaysOf(own, lost);
        if (!ownRelays.contains(host)) {
            return ownRelays;
        }
        List<Integer> neighbours = new ArrayList<>();
        for (int domain = 0; domain < domains; domain++) {
            if (domain != own) {
                neighbours.addAll(relaysOf(domain, lost));
            }
        }
        IntStream.range(0, size)
                .filter(other -> other % domains == own && other != host && !lost[other])
                .forEach(neighbours::add);
        return neighbours;
    }
}
