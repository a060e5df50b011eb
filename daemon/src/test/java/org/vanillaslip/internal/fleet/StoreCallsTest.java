package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillaslip.internal.fleet.SimulatedStore.Treatment;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/** Guards that watch calls of the store are saved without any host learning of changes later. */
class StoreCallsTest {

    private static final long SEED = 7;
    private static final int ROUNDS = 20;
    private static final Set<String> RARELY_CHANGING =
            Set.of(StoreCallsWorld.CONFIGURATION, StoreCallsWorld.DRAINS);
    private static final Duration COUNTED_TIME = Duration.ofSeconds(60);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(14);

    /**
     * What happens to the relays of one failure domain, and the longest time until all hosts knew a
     * change of a rarely changing collection when both relays polled it every second (measured in
     * 60 rounds with the same seed).
     */
    private enum Failure {
        NONE(30),
        RELAY_KILLED(80),
        RELAY_FROZEN(410),
        STORE_REFUSES_RELAY(600),
        STORE_SILENT_TO_RELAY(550),
        RELAY_CUT_FROM_MEMBERS(470),
        WATCH_SILENT(380),
        STALE_ANSWERS(40),
        HOST_ADDED(80),
        STORE_BACK_AFTER_OUTAGE(570),
        HISTORY_DROPPED(850),
        BOTH_RELAYS_KILLED(690),

        /** Members go to the store 1750 ms after the last answer that either relay received. */
        BOTH_RELAYS_SILENT(1800);

        private final long mBoundMillis;

        Failure(long boundMillis) {
            mBoundMillis = boundMillis;
        }
    }

    /** Guards against second relays that poll as often as the first, and against lost polls. */
    @Test
    void theSecondRelayPollsRarelyChangingCollectionsEveryTenSeconds() {
        Map<String, Integer> calls = watchCallsInOneMinute(RARELY_CHANGING);

        assertThat(calls.get(StoreCallsWorld.CONFIGURATION)).isBetween(180, 200);
        assertThat(calls.get(StoreCallsWorld.DRAINS)).isBetween(180, 200);
        assertThat(calls.get(StoreCallsWorld.SERVERS)).isEqualTo(456);
    }

    @Test
    void withoutRarelyChangingCollectionsBothRelaysPollEverySecond() {
        assertThat(watchCallsInOneMinute(Set.of()))
                .containsEntry(StoreCallsWorld.CONFIGURATION, 360)
                .containsEntry(StoreCallsWorld.DRAINS, 360)
                .containsEntry(StoreCallsWorld.SERVERS, 456);
    }

    /** Guards against hosts that learn of a change later because the second relay polls less. */
    @ParameterizedTest
    @EnumSource
    void noHostLearnsOfAChangeLater(Failure failure) {
        Map<String, Long> longest = longestTimes(failure, RARELY_CHANGING);

        assertThat(longest.get(StoreCallsWorld.CONFIGURATION))
                .isLessThanOrEqualTo(failure.mBoundMillis);
        assertThat(longest.get(StoreCallsWorld.DRAINS)).isLessThanOrEqualTo(failure.mBoundMillis);
    }

    /** Guards against members that all poll the store because the second relay asks too late. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "RELAY_KILLED",
                "RELAY_FROZEN",
                "STORE_REFUSES_RELAY",
                "STORE_SILENT_TO_RELAY",
                "RELAY_CUT_FROM_MEMBERS",
                "WATCH_SILENT",
                "STALE_ANSWERS"
            })
    void membersStayWithTheSecondRelayWhenTheFirstFails(Failure failure) {
        StoreCallsWorld world = new StoreCallsWorld(SEED, RARELY_CHANGING);
        for (int round = 0; round < ROUNDS; round++) {
            List<SimulatedHost> relays = world.relaysOf("d1");
            world.run(Duration.ofMillis(world.mRandom.nextInt(1000)));
            int before = world.watchCallsOfMembers(StoreCallsWorld.CONFIGURATION);
            begin(world, failure, relays, 0);
            world.run(Duration.ofMillis(2400));

            assertThat(world.watchCallsOfMembers(StoreCallsWorld.CONFIGURATION))
                    .as("round " + round)
                    .isEqualTo(before);
            repair(world, relays);
            world.run(SETTLING_TIME);
        }
    }

    private static Map<String, Integer> watchCallsInOneMinute(Set<String> rarelyChanging) {
        StoreCallsWorld world = new StoreCallsWorld(SEED, rarelyChanging);
        Map<String, Integer> before = world.watchCalls();
        world.run(COUNTED_TIME);
        Map<String, Integer> calls = world.watchCalls();
        before.forEach((collection, count) -> calls.merge(collection, -count, Integer::sum));
        return calls;
    }

    /** Returns the longest time until all hosts knew a change, by collection. */
    private static Map<String, Long> longestTimes(Failure failure, Set<String> rarelyChanging) {
        StoreCallsWorld world = new StoreCallsWorld(SEED, rarelyChanging);
        Map<String, Long> longest = new LinkedHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<SimulatedHost> relays = world.relaysOf("d1");
            Map<String, Duration> times = timesOfRound(world, failure, relays, round);
            times.forEach(
                    (object, time) ->
                            longest.merge(
                                    object.substring(0, object.indexOf('-')),
                                    time.toMillis(),
                                    Math::max));
            repair(world, relays);
            world.run(SETTLING_TIME);
        }
        return longest;
    }

    private static Map<String, Duration> timesOfRound(
            StoreCallsWorld world, Failure failure, List<SimulatedHost> relays, int round) {
        begin(world, failure, relays, round);
        world.run(Duration.ofMillis(world.mRandom.nextInt(3000)));
        List<String> objects = world.change();
        if (failure == Failure.STORE_BACK_AFTER_OUTAGE) {
            world.mHosts.hosts().forEach(host -> world.treat(host, Treatment.ANSWERED));
        } else if (failure == Failure.HISTORY_DROPPED) {
            world.mHosts.advanceTime(Duration.ofMillis(500));
            world.mStore.dropHistory();
        }
        // Nobody tells relays of a change whose watches are both silent; they wait for their
        // timeout.
        Predicate<SimulatedHost> selected =
                host -> failure != Failure.BOTH_RELAYS_SILENT || !relays.contains(host);
        return world.timesUntilKnown(objects, selected);
    }

    private static void begin(
            StoreCallsWorld world, Failure failure, List<SimulatedHost> relays, int round) {
        SimulatedHost relay = relays.get(round % 2);
        switch (failure) {
            case NONE -> {}
            case RELAY_KILLED -> world.mHosts.crash(relay);
            case BOTH_RELAYS_KILLED -> relays.forEach(world.mHosts::crash);
            case BOTH_RELAYS_SILENT ->
                    relays.forEach(each -> world.treat(each, Treatment.WATCH_SILENT));
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

    private static void repair(StoreCallsWorld world, List<SimulatedHost> relays) {
        for (SimulatedHost relay : relays) {
            if (!world.mHosts.runningHosts().contains(relay)) {
                world.restart(relay);
            }
            world.treat(relay, Treatment.ANSWERED);
        }
        world.mHosts.setReachability((from, to) -> true);
    }
}
