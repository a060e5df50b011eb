package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two hosts that send orders to the same servers within the handover delay. */
class FleetLeaseTest {

    private static final long HANDOVER_DELAY_MILLIS = LeaseSimulation.HANDOVER_DELAY.toMillis();

    private final LeaseSimulation mSimulation = new LeaseSimulation(3);

    @Test
    void onlyOneHostSendsOrdersWithoutFaults() {
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.orders()).extracting(LeaseSimulation.Order::host).containsOnly("h0");
        assertThat(mSimulation.orders()).hasSizeGreaterThan(1000);
    }

    @Test
    void anotherHostTakesOverFromADeadHolderAfterTheHandoverDelay() {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.holder().mDead = true;
        long died = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
        assertThat(firstOrderAfter(died)).isLessThan(died + 7000);
    }

    /** The monotonic clock of a suspended host stops, so its lease looks valid. */
    @ParameterizedTest
    @ValueSource(ints = {500, 1500, 3000, 5000, 9000})
    void aResumedHostSendsNoOrdersUnderAnExpiredLease(int millis) {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mSuspended = true;
        mSimulation.run(Duration.ofMillis(millis));
        holder.mSuspended = false;
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    @Test
    void aHolderThatCannotReachTheStoreStopsBeforeItsLeaseExpires() {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.holder().mStoreUnavailable = true;
        mSimulation.run(Duration.ofSeconds(12));

        assertThat(mSimulation.shortestHandoverMillis()).isBetween(HANDOVER_DELAY_MILLIS, 9000L);
    }

    @Test
    void aStoreOutageDoesNotMoveTheLease() {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.hosts().forEach(host -> host.mStoreUnavailable = true);
        mSimulation.run(Duration.ofSeconds(8));
        mSimulation.hosts().forEach(host -> host.mStoreUnavailable = false);
        long recovered = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(8));

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
        assertThat(firstOrderAfter(recovered)).isLessThan(recovered + 6000);
    }

    /** A renewal that took effect is not treated as failed because its response was lost. */
    @Test
    void lostResponsesDoNotEndTheLease() {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mResponsesLost = true;
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.orders())
                .extracting(LeaseSimulation.Order::host)
                .containsOnly(holder.mName);
    }

    @ParameterizedTest
    @ValueSource(longs = {-5000, -2000, 2000, 5000})
    void aStepOfTheWallClockDoesNotEndTheLease(long step) {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mWallClockStepMillis = step;
        mSimulation.run(Duration.ofSeconds(3));
        long stepped = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(3));

        assertThat(mSimulation.orders())
                .extracting(LeaseSimulation.Order::host)
                .containsOnly(holder.mName);
        assertThat(firstOrderAfter(stepped)).isLessThan(stepped + 100);
    }

    @Test
    void aReleasedLeaseIsHandedOverAfterTheHandoverDelay() {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mLease.release().subscribe();
        long released = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(8));

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
        assertThat(firstOrderAfter(released + 100)).isLessThan(released + 5000);
    }

    /** Guards against a renewal that makes a host hold the lease again that it has released. */
    @Test
    void aReleaseIsNotUndoneByARenewalInFlight() {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        releaseDuringNextWrite(holder);
        mSimulation.run(Duration.ofSeconds(1));
        long released = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(8));

        assertThat(mSimulation.orders())
                .filteredOn(order -> order.atMillis() > released)
                .extracting(LeaseSimulation.Order::host)
                .doesNotContain(holder.mName);
        assertThat(firstOrderAfter(released)).isLessThan(released + 4000);
        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    /** Guards against a lease that is acquired by a host that stops, and left to expire. */
    @Test
    void aHostThatStopsWhileItAcquiresTheLeaseReleasesIt() {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.holder().mDead = true;
        LeaseSimulation.TestHost next = mSimulation.hosts().get(1);
        releaseDuringNextWrite(next);
        long died = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.orders())
                .filteredOn(order -> order.atMillis() > died)
                .extracting(LeaseSimulation.Order::host)
                .containsOnly("h2");
        assertThat(firstOrderAfter(died)).isLessThan(died + 7000);
    }

    /** Guards against a host that takes an old record with its own name for the present one. */
    @ParameterizedTest
    @ValueSource(ints = {500, 2000, 4000, 7000})
    void aResumedHolderThatReadsItsOldRecordSendsNoOrders(int behindMillis) {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mSuspended = true;
        mSimulation.run(Duration.ofSeconds(7));
        holder.mReadsBehindMillis = behindMillis;
        holder.mSuspended = false;
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    @Test
    void aRestartedHolderReacquiresItsLeaseAtOnce() {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost holder = mSimulation.holder();
        holder.mDead = true;
        mSimulation.run(Duration.ofMillis(800));
        holder.restart();
        long restarted = mSimulation.millis();
        mSimulation.run(Duration.ofSeconds(2));

        assertThat(firstOrderAfter(restarted)).isLessThan(restarted + 700);
    }

    /** The new holder's process restarts before the handover delay is over. */
    @Test
    void aRestartDoesNotShortenTheHandoverDelayAfterThePreviousHolder() {
        mSimulation.run(Duration.ofSeconds(5));
        LeaseSimulation.TestHost first = mSimulation.holder();
        first.mStoreUnavailable = true;
        for (int step = 0; step < 60; step++) {
            mSimulation.run(Duration.ofMillis(100));
            mSimulation.hosts().stream()
                    .filter(host -> host != first && host.mLease.held())
                    .filter(host -> !host.mLease.mayOrder())
                    .findFirst()
                    .ifPresent(LeaseSimulation.TestHost::restart);
        }
        mSimulation.run(Duration.ofSeconds(10));

        assertThat(mSimulation.shortestHandoverMillis()).isBetween(HANDOVER_DELAY_MILLIS, 60_000L);
    }

    /** Injects random faults, also several at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void ordersOfTwoHostsAreTheHandoverDelayApartUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        mSimulation.run(Duration.ofSeconds(3));
        for (int round = 0; round < 40; round++) {
            List<LeaseSimulation.TestHost> hosts = mSimulation.hosts();
            LeaseSimulation.TestHost host =
                    random.nextBoolean() && !mSimulation.orders().isEmpty()
                            ? mSimulation.holder()
                            : hosts.get(random.nextInt(hosts.size()));
            injectFault(host, random);
            mSimulation.run(Duration.ofMillis(10L * random.nextInt(400)));
        }

        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    /** Guards against a rate of lease reads that grows in proportion to the number of hosts. */
    @Test
    void onlyThreeStandbysReadTheLeaseOftenWhileTheHolderIsReachable() {
        LeaseSimulation simulation = new LeaseSimulation(10);
        simulation.run(Duration.ofSeconds(5));
        simulation.setHolderReachable(true);
        int before = simulation.reads();
        simulation.run(Duration.ofSeconds(20));

        // Three standbys read the lease every 400 ms, six other hosts every 5 s.
        assertThat(simulation.reads() - before).isLessThanOrEqualTo(3 * 51 + 6 * 5);
    }

    /** Guards against a lease that stays free because the standbys are partitioned as well. */
    @Test
    void anyHostTakesOverWhenTheHolderIsSilentAndTheStandbysCannotReachTheStore() {
        LeaseSimulation simulation = new LeaseSimulation(10);
        simulation.run(Duration.ofSeconds(5));
        simulation.setHolderReachable(true);
        simulation.run(Duration.ofSeconds(10));
        simulation.holder().mDead = true;
        simulation.hosts().stream()
                .filter(host -> host.mLease.isStandby())
                .forEach(host -> host.mStoreUnavailable = true);
        long died = simulation.millis();
        simulation.run(Duration.ofMillis(2100));
        simulation.setHolderReachable(false);
        simulation.run(Duration.ofSeconds(10));

        assertThat(simulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
        assertThat(simulation.orders().get(simulation.orders().size() - 1).atMillis())
                .isGreaterThan(died + 9000);
    }

    private static void releaseDuringNextWrite(LeaseSimulation.TestHost host) {
        host.mOnWrite =
                () -> {
                    host.mOnWrite = () -> {};
                    host.mScheduler.schedule(
                            () -> host.mLease.release().subscribe(), 2, TimeUnit.MILLISECONDS);
                };
    }

    private static void injectFault(LeaseSimulation.TestHost host, Random random) {
        switch (random.nextInt(6)) {
            case 0 -> host.mSuspended = !host.mSuspended;
            case 1 -> host.mStoreUnavailable = !host.mStoreUnavailable;
            case 2 -> host.mResponsesLost = !host.mResponsesLost;
            case 3 -> {
                // A step equal to the length of a suspension cannot be detected.
                if (!host.mSuspended) {
                    host.mWallClockStepMillis = random.nextInt(8000) - 4000;
                }
            }
            case 4 -> host.mLease.release().subscribe();
            default -> {
                host.mStoreUnavailable = false;
                host.restart();
            }
        }
    }

    private long firstOrderAfter(long millis) {
        return mSimulation.orders().stream()
                .mapToLong(LeaseSimulation.Order::atMillis)
                .filter(at -> at > millis)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }
}
