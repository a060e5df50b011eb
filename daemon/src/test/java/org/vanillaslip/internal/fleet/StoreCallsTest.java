package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.fleet.SimulatedStore.Treatment;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/** Guards that watch calls of the store are saved without any host learning of changes later. */
class StoreCallsTest {

    private static final long SEED = 7;
    private static final int ROUNDS = 12;
    private static final Duration COUNTED_TIME = Duration.ofSeconds(60);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(14);

    private enum Failure {
        NONE,
        RELAY_KILLED,
        RELAY_FROZEN,
        STORE_REFUSES_RELAY,
        STORE_SILENT_TO_RELAY,
        RELAY_CUT_FROM_MEMBERS,
        WATCH_SILENT,
        STALE_ANSWERS,
        HOST_ADDED,
        STORE_BACK_AFTER_OUTAGE,
        HISTORY_DROPPED
    }

    @Test
    void measure() {
        measure(Set.of());
        measure(Set.of("config", "evacuations"));
    }

    void measure(Set<String> rarely) {
        StoreCallsWorld world = new StoreCallsWorld(SEED, rarely);
        Map<String, Integer> before = world.watchCalls();
        world.run(COUNTED_TIME);
        Map<String, Integer> calls = world.watchCalls();
        before.forEach((collection, count) -> calls.merge(collection, -count, Integer::sum));
        System.out.println("calls " + calls);
        for (Failure failure : Failure.values()) {
            System.out.println(failure + " " + longestTimes(failure, rarely));
        }
        assertThat(calls).isNotEmpty();
    }

    /** Returns the longest time until all hosts knew a change, by collection. */
    private static Map<String, Long> longestTimes(Failure failure, Set<String> rarely) {
        StoreCallsWorld world = new StoreCallsWorld(SEED, rarely);
        Map<String, Long> longest = new LinkedHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            SimulatedHost relay = world.relaysOf("d1").get(round % 2);
            Map<String, Duration> times = timesOfRound(world, failure, relay, round);
            times.forEach(
                    (object, time) ->
                            longest.merge(
                                    object.substring(0, object.indexOf('-')),
                                    time.toMillis(),
                                    Math::max));
            repair(world, failure, relay);
            world.run(SETTLING_TIME);
        }
        return longest;
    }

    private static Map<String, Duration> timesOfRound(
            StoreCallsWorld world, Failure failure, SimulatedHost relay, int round) {
        begin(world, failure, relay, round);
        world.run(Duration.ofMillis(world.mRandom.nextInt(3000)));
        List<String> objects = world.change();
        if (failure == Failure.STORE_BACK_AFTER_OUTAGE) {
            world.mHosts.hosts().forEach(host -> world.treat(host, Treatment.ANSWERED));
        } else if (failure == Failure.HISTORY_DROPPED) {
            world.mHosts.advanceTime(Duration.ofMillis(500));
            world.mStore.dropHistory();
        }
        Predicate<SimulatedHost> selected = host -> true;
        return world.timesUntilKnown(objects, selected);
    }

    private static void begin(
            StoreCallsWorld world, Failure failure, SimulatedHost relay, int round) {
        switch (failure) {
            case NONE -> {}
            case RELAY_KILLED -> world.mHosts.crash(relay);
            case RELAY_FROZEN -> world.mHosts.suspend(relay);
            case STORE_REFUSES_RELAY -> world.treat(relay, Treatment.REFUSED);
            case STORE_SILENT_TO_RELAY -> world.treat(relay, Treatment.SILENT);
            case RELAY_CUT_FROM_MEMBERS ->
                    world.mHosts.setReachability(
                            (from, to) -> !isRelayAndMember(world, relay, from, to));
            case WATCH_SILENT -> world.treat(relay, Treatment.WATCH_SILENT);
            case STALE_ANSWERS -> world.treat(relay, Treatment.STALE);
            case HOST_ADDED -> world.addHost("added" + round, "d1");
            case STORE_BACK_AFTER_OUTAGE -> {
                Treatment treatment = round % 2 == 0 ? Treatment.SILENT : Treatment.REFUSED;
                world.mHosts.hosts().forEach(host -> world.treat(host, treatment));
                world.mHosts.advanceTime(Duration.ofSeconds(3));
            }
            case HISTORY_DROPPED -> world.mStore.muteWatches();
        }
    }

    private static boolean isRelayAndMember(
            StoreCallsWorld world, SimulatedHost relay, SimulatedHost from, SimulatedHost to) {
        SimulatedHost other = from == relay ? to : from;
        return (from == relay || to == relay)
                && other.domain().equals(relay.domain())
                && !world.mHosts.relays().contains(other);
    }

    private static void repair(StoreCallsWorld world, Failure failure, SimulatedHost relay) {
        if (failure == Failure.RELAY_KILLED || failure == Failure.RELAY_FROZEN) {
            world.restart(relay);
        }
        world.treat(relay, Treatment.ANSWERED);
        world.mHosts.setReachability((from, to) -> true);
    }
}
