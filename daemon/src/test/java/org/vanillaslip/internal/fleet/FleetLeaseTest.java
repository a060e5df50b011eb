package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two hosts that order the same servers within one turn. */
class FleetLeaseTest {

    private static final long TURN_MILLIS = LeaseSimulation.TURN.toMillis();

    private final LeaseSimulation mWorld = new LeaseSimulation(3);

    @Test
    void oneHostOrdersOnACalmDay() {
        mWorld.run(Duration.ofSeconds(20));

        assertThat(mWorld.orders()).extracting(LeaseSimulation.Order::host).containsOnly("h0");
        assertThat(mWorld.orders()).hasSizeGreaterThan(1000);
    }

    @Test
    void anotherHostTakesOverFromADeadOneAfterATurn() {
        mWorld.run(Duration.ofSeconds(5));
        mWorld.holder().mDead = true;
        long died = mWorld.millis();
        mWorld.run(Duration.ofSeconds(10));

        assertThat(mWorld.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
        assertThat(firstOrderAfter(died)).isLessThan(died + 7000);
    }

    /** The steady clock of a suspended host stands still, so its lease looks valid. */
    @ParameterizedTest
    @ValueSource(ints = {500, 1500, 3000, 5000, 9000})
    void aHostThatWasSuspendedOrdersNothingWithAnOldLease(int millis) {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mWorld.holder();
        holder.mSuspended = true;
        mWorld.run(Duration.ofMillis(millis));
        holder.mSuspended = false;
        mWorld.run(Duration.ofSeconds(10));

        assertThat(mWorld.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
    }

    @Test
    void aHolderThatCannotReachTheStoreStopsBeforeItsLeaseEnds() {
        mWorld.run(Duration.ofSeconds(5));
        mWorld.holder().mStoreAway = true;
        mWorld.run(Duration.ofSeconds(12));

        assertThat(mWorld.shortestTurn()).isBetween(TURN_MILLIS, 9000L);
    }

    @Test
    void aStoreThatIsAwayMovesNoLease() {
        mWorld.run(Duration.ofSeconds(5));
        mWorld.hosts().forEach(host -> host.mStoreAway = true);
        mWorld.run(Duration.ofSeconds(8));
        mWorld.hosts().forEach(host -> host.mStoreAway = false);
        long back = mWorld.millis();
        mWorld.run(Duration.ofSeconds(8));

        assertThat(mWorld.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
        assertThat(firstOrderAfter(back)).isLessThan(back + 6000);
    }

    /** A renewal that took effect though its answer was lost is not taken for a failure. */
    @Test
    void lostAnswersDoNotEndTheLease() {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mWorld.holder();
        holder.mAnswersLost = true;
        mWorld.run(Duration.ofSeconds(10));

        assertThat(mWorld.orders())
                .extracting(LeaseSimulation.Order::host)
                .containsOnly(holder.mName);
    }

    @ParameterizedTest
    @ValueSource(longs = {-5000, -2000, 2000, 5000})
    void aStepOfTheTimeOfDayEndsNoLease(long step) {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mWorld.holder();
        holder.mDayStepMillis = step;
        mWorld.run(Duration.ofSeconds(3));
        long stepped = mWorld.millis();
        mWorld.run(Duration.ofSeconds(3));

        assertThat(mWorld.orders())
                .extracting(LeaseSimulation.Order::host)
                .containsOnly(holder.mName);
        assertThat(firstOrderAfter(stepped)).isLessThan(stepped + 100);
    }

    @Test
    void aPlannedStopHandsTheLeaseOverAfterATurn() {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mWorld.holder();
        holder.mLease.release().subscribe();
        long released = mWorld.millis();
        mWorld.run(Duration.ofSeconds(8));

        assertThat(mWorld.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
        assertThat(firstOrderAfter(released + 100)).isLessThan(released + 5000);
    }

    @Test
    void aHostThatRestartsTakesItsOwnLeaseBackAtOnce() {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mWorld.holder();
        holder.mDead = true;
        mWorld.run(Duration.ofMillis(800));
        holder.restart();
        long restarted = mWorld.millis();
        mWorld.run(Duration.ofSeconds(2));

        assertThat(firstOrderAfter(restarted)).isLessThan(restarted + 700);
    }

    /** The turn of the host before is not over when the new holder's process restarts. */
    @Test
    void aRestartDoesNotShortenTheTurnOfTheHolderBefore() {
        mWorld.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost first = mWorld.holder();
        first.mStoreAway = true;
        for (int step = 0; step < 60; step++) {
            mWorld.run(Duration.ofMillis(100));
            mWorld.hosts().stream()
                    .filter(host -> host != first && host.mLease.held())
                    .filter(host -> !host.mLease.mayOrder())
                    .findFirst()
                    .ifPresent(LeaseSimulation.TestHost::restart);
        }
        mWorld.run(Duration.ofSeconds(10));

        assertThat(mWorld.shortestTurn()).isBetween(TURN_MILLIS, 60_000L);
    }

    /** All faults in any order, several at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noTwoHostsOrderWithinATurnWhateverHappens(long seed) {
        Random random = new Random(seed);
        mWorld.run(Duration.ofSeconds(3));
        for (int round = 0; round < 40; round++) {
            List<LeaseSimulation.TestHost> hosts = mWorld.hosts();
            LeaseSimulation.TestHost host =
                    random.nextBoolean() && !mWorld.orders().isEmpty()
                            ? mWorld.holder()
                            : hosts.get(random.nextInt(hosts.size()));
            fault(host, random);
            mWorld.run(Duration.ofMillis(10L * random.nextInt(400)));
        }

        assertThat(mWorld.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
    }

    /** Guards against reads of the lease that grow with the number of hosts. */
    @Test
    void threeHostsLookAtTheLeaseOftenWhileItsHolderIsHeard() {
        LeaseSimulation world = new LeaseSimulation(10);
        world.run(Duration.ofSeconds(5));
        world.hear(true);
        int before = world.reads();
        world.run(Duration.ofSeconds(20));

        // Three standbys read each 400 ms, six others each 5 s.
        assertThat(world.reads() - before).isLessThanOrEqualTo(3 * 51 + 6 * 5);
    }

    /** Guards against a lease that nobody takes because the standbys are cut off as well. */
    @Test
    void anyHostTakesOverWhenTheHolderIsNoLongerHeardAndTheStandbysAreCutOff() {
        LeaseSimulation world = new LeaseSimulation(10);
        world.run(Duration.ofSeconds(5));
        world.hear(true);
        world.run(Duration.ofSeconds(10));
        world.holder().mDead = true;
        world.hosts().stream()
                .filter(host -> host.mLease.isStandby())
                .forEach(host -> host.mStoreAway = true);
        long died = world.millis();
        world.run(Duration.ofMillis(2100));
        world.hear(false);
        world.run(Duration.ofSeconds(10));

        assertThat(world.shortestTurn()).isGreaterThanOrEqualTo(TURN_MILLIS);
        assertThat(world.orders().get(world.orders().size() - 1).atMillis())
                .isGreaterThan(died + 9000);
    }

    private static void fault(LeaseSimulation.TestHost host, Random random) {
        switch (random.nextInt(6)) {
            case 0 -> host.mSuspended = !host.mSuspended;
            case 1 -> host.mStoreAway = !host.mStoreAway;
            case 2 -> host.mAnswersLost = !host.mAnswersLost;
            case 3 -> {
                // A step that hides the time of a suspension cannot be told from none.
                if (!host.mSuspended) {
                    host.mDayStepMillis = random.nextInt(8000) - 4000;
                }
            }
            case 4 -> host.mLease.release().subscribe();
            default -> {
                host.mStoreAway = false;
                host.restart();
            }
        }
    }

    private long firstOrderAfter(long millis) {
        return mWorld.orders().stream()
                .mapToLong(LeaseSimulation.Order::atMillis)
                .filter(at -> at > millis)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }
}
