package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/**
 * Guards that hosts stop sending to a leaving server in time although few of them watch the store.
 */
class LeavingServerPropagationTest {

    /** With as many hosts, a server serves for this long after it has announced its shutdown. */
    private static final Duration DRAIN_BOUND = Duration.ofMillis(3000);

    private static final int SMALL_DEPLOYMENT_HOSTS = 9;
    private static final Duration SMALL_DEPLOYMENT_WATCH_PAUSE = Duration.ofMillis(708);
    private static final Duration SMALL_DEPLOYMENT_DRAIN_BOUND = Duration.ofMillis(2000);
    private static final String LEAVING = "server-0";

    /** Guards against members that trust relays which have read nothing since their last poll. */
    @Test
    void anAnnouncementMissedByBothRelaysWatchesReachesTheirMembersInTime() {
        for (int seed = 0; seed < 40; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            world.runWithOtherChanges(Duration.ofMillis(2000));
            List<SimulatedHost> relays = world.relaysOf("d1");
            relays.forEach(relay -> world.treat(relay, SimulatedStore.Treatment.SILENT));
            world.announce(LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING))
                    .as("seed " + seed)
                    .isSubsetOf(relays.stream().map(SimulatedHost::name).toList());
        }
    }

    /** Guards against a failed call of one host that prolongs the service of a removed server. */
    @Test
    void aRemovalAfterAFailedCallOfAHostIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world = new PropagationWorld(seed);
            world.runWithOtherChanges(Duration.ofMillis(2000 + seed * 75L));
            world.failOneCall("h005");
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            world.runWithOtherChanges(DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /**
     * Guards against a relay that the store turns away and that makes its members, which the store
     * serves, keep a removed server.
     */
    @Test
    void aRemovalWhileTheStoreTurnsOneRelayAwayIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            SimulatedHost turnedAway = world.relaysOf("d1").get(seed % 2);
            world.treat(turnedAway, treatment(seed));
            world.runWithOtherChanges(Duration.ofMillis(3000 + seed * 75L));
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Guards against hosts that take the end of their own trouble for the end of an outage. */
    @Test
    void aRemovalAfterTheStoreServesAHostAgainIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedHost turnedAway = hosts.get(seed % hosts.size());
            world.treat(turnedAway, treatment(seed));
            world.runWithOtherChanges(Duration.ofMillis(5000));
            world.treat(turnedAway, SimulatedStore.Treatment.ANSWERED);
            world.runWithOtherChanges(Duration.ofMillis(600 + seed * 75L));
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Guards against members that lose both relays' news and trust neither them nor themselves. */
    @Test
    void aRemovalWhileTheStoreTurnsBothRelaysAwayIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> relays = world.relaysOf("d1");
            relays.forEach(relay -> world.treat(relay, treatment(world.mRandom.nextInt(2))));
            world.runWithOtherChanges(Duration.ofMillis(500 + seed * 200L));
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING))
                    .as("seed " + seed)
                    .isSubsetOf(relays.stream().map(SimulatedHost::name).toList());
        }
    }

    /**
     * Guards against hosts that drop all servers after an outage, in which live servers cannot
     * renew their entries.
     */
    @Test
    void aServerWhoseEntryExpiredInAnOutageStaysInServiceUntilItIsListedAgain() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedStore.Treatment treatment = treatment(seed);
            hosts.forEach(host -> world.treat(host, treatment));
            world.run(Duration.ofMillis(4500));
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            world.run(Duration.ofMillis(1000));
            hosts.forEach(host -> world.treat(host, SimulatedStore.Treatment.ANSWERED));
            for (int step = 0; step < 13; step++) {
                world.run(Duration.ofMillis(100));
                assertThat(world.hostsSendingTo(LEAVING))
                        .as("seed " + seed + " step " + step)
                        .hasSameSizeAs(hosts);
            }
            world.mStore.put(
                    PropagationWorld.COLLECTION, LEAVING, PropagationWorld.entry(false, 1));
            world.run(Duration.ofSeconds(4));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).hasSameSizeAs(hosts);
        }
    }

    @Test
    void aServerThatIsNotListedAgainAfterAnOutageIsGone() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedStore.Treatment treatment = treatment(seed);
            hosts.forEach(host -> world.treat(host, treatment));
            world.run(Duration.ofMillis(4500));
            world.mStore.remove(PropagationWorld.COLLECTION, LEAVING);
            hosts.forEach(host -> world.treat(host, SimulatedStore.Treatment.ANSWERED));
            world.run(Duration.ofMillis(3300));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    private static SimulatedStore.Treatment treatment(int seed) {
        return seed % 2 == 0 ? SimulatedStore.Treatment.SILENT : SimulatedStore.Treatment.REFUSED;
    }

    /**
     * Guards against an entry that puts a server back in service after it announced its shutdown.
     */
    @Test
    void aServerThatAnnouncedItsShutdownDoesNotReturnInTheSameProcess() {
        PropagationWorld world = new PropagationWorld(1);
        world.announce(LEAVING);
        world.runWithOtherChanges(DRAIN_BOUND);
        world.mStore.put(PropagationWorld.COLLECTION, LEAVING, PropagationWorld.entry(false, 1));
        world.runWithOtherChanges(DRAIN_BOUND);

        assertThat(world.hostsSendingTo(LEAVING)).isEmpty();
    }

    /** Guards against hosts that miss an announcement which the store's watches never deliver. */
    @Test
    void anAnnouncementWithheldUntilTheHistoryIsDroppedIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world = new PropagationWorld(seed);
            world.runWithOtherChanges(Duration.ofMillis(2000 + seed * 75L));
            world.mStore.muteWatches();
            world.announce(LEAVING);
            world.runWithOtherChanges(Duration.ofMillis(1000));
            world.mStore.dropHistory();
            world.runWithOtherChanges(DRAIN_BOUND.minusMillis(1000));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }
}
