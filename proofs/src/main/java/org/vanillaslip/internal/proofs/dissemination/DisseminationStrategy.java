package org.vanillaslip.internal.proofs.dissemination;

import java.util.List;
import java.util.random.RandomGenerator;

/** Selects the hosts to which a host sends its items in each interval. */
@FunctionalInterface
public interface DisseminationStrategy {

    /**
     * Returns the receivers of a host in this interval.
     *
     * @param detectedFailures hosts whose failure the sender has detected, by host number
     */
    List<Integer> receivers(
            Fleet fleet, int host, boolean[] detectedFailures, RandomGenerator random);

    /** Each host sends its own item to every other host. */
    static DisseminationStrategy mesh() {
        return (fleet, host, detectedFailures, random) -> fleet.others(host, detectedFailures);
    }

    /** Each host sends to one holder, which sends to all; the next host replaces a failed one. */
    static DisseminationStrategy star() {
        return (fleet, host, detectedFailures, random) -> {
            int center = fleet.firstLive(detectedFailures, fleet.hosts());
            return host == center ? fleet.others(host, detectedFailures) : List.of(center);
        };
    }

    /** Each host sends to a few hosts that are picked at random in each interval. */
    static DisseminationStrategy epidemic(int fanOut) {
        return (fleet, host, detectedFailures, random) ->
                random.ints(fanOut, 0, fleet.hostCount())
                        .filter(other -> other != host)
                        .boxed()
                        .distinct()
                        .toList();
    }

    /** The first two hosts of each failure domain forward the items of the others. */
    static DisseminationStrategy relays() {
        return (fleet, host, detectedFailures, random) ->
                fleet.relayReceivers(host, detectedFailures);
    }
}
