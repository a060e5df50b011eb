package org.vanillaslip.internal.proofs.dissemination;

import java.util.List;
import java.util.random.RandomGenerator;

/** One way to spread news: to whom a host sends what it knows, each interval. */
@FunctionalInterface
public interface DisseminationStrategy {

    /**
     * Returns the receivers of a host in this interval.
     *
     * @param detectedFailures hosts that the sender has noticed to be lost
     */
    List<Integer> receivers(
            Fleet fleet, int host, boolean[] detectedFailures, RandomGenerator random);

    /** Each host tells every other what it has made itself. */
    static DisseminationStrategy mesh() {
        return (fleet, host, detectedFailures, random) -> fleet.others(host, detectedFailures);
    }

    /** Each host tells the holder, which tells all; the next host takes over a lost holder. */
    static DisseminationStrategy star() {
        return (fleet, host, detectedFailures, random) -> {
            int center = fleet.firstLive(detectedFailures, fleet.hosts());
            return host == center ? fleet.others(host, detectedFailures) : List.of(center);
        };
    }

    /** Each host tells a few hosts that it draws anew each time. */
    static DisseminationStrategy epidemic(int fanOut) {
        return (fleet, host, detectedFailures, random) ->
                random.ints(fanOut, 0, fleet.hostCount())
                        .filter(other -> other != host)
                        .boxed()
                        .distinct()
                        .toList();
    }

    /** The first two hosts of each domain pass on what the others tell them. */
    static DisseminationStrategy relays() {
        return (fleet, host, detectedFailures, random) ->
                fleet.relayReceivers(host, detectedFailures);
    }
}
