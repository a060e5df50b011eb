package org.vanillaslip.internal.proofs.dissemination;

import java.util.List;
import java.util.random.RandomGenerator;

/** One way to spread news: to whom a host sends what it knows, each interval. */
@FunctionalInterface
public interface Spreading {

    /**
     * Returns the receivers of a host in this interval.
     *
     * @param lost hosts that the sender has noticed to be lost
     */
    List<Integer> receivers(Fleet fleet, int host, boolean[] lost, RandomGenerator random);

    /** Each host tells every other what it has made itself. */
    static Spreading mesh() {
        return (fleet, host, lost, random) -> fleet.others(host, lost);
    }

    /** Each host tells the holder, which tells all; the next host takes over a lost holder. */
    static Spreading star() {
        return (fleet, host, lost, random) -> {
            int center = fleet.firstNot(lost, fleet.hosts());
            return host == center ? fleet.others(host, lost) : List.of(center);
        };
    }

    /** Each host tells a few hosts that it draws anew each time. */
    static Spreading epidemic(int fanOut) {
        return (fleet, host, lost, random) ->
                random.ints(fanOut, 0, fleet.size())
                        .filter(other -> other != host)
                        .boxed()
                        .distinct()
                        .toList();
    }

    /** The first two hosts of each domain pass on what the others tell them. */
    static Spreading relays() {
        return (fleet, host, lost, random) -> fleet.relayNeighbours(host, lost);
    }
}
