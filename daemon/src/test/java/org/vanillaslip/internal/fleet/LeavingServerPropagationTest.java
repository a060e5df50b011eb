package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.changes.RelayedStore;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/**
 * Guards that hosts stop sending to a leaving server in time although few of them watch the store.
 */
class LeavingServerPropagationTest {

    private static final String COLLECTION = "servers";
    private static final int HOSTS = 66;
    private static final int SERVERS = 45;
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);
    private static final Duration STARTUP_TIME = Duration.ofSeconds(14);

    /** Above the longest pause of a watch in any deployment. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(1392);

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
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
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
            World world = new World(seed);
            world.runWithOtherChanges(Duration.ofMillis(2000 + seed * 75L));
            world.failOneCall("h005");
            world.mStore.remove(COLLECTION, LEAVING);
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
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            SimulatedHost turnedAway = world.relaysOf("d1").get(seed % 2);
            world.treat(turnedAway, treatment(seed));
            world.runWithOtherChanges(Duration.ofMillis(3000 + seed * 75L));
            world.mStore.remove(COLLECTION, LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Guards against hosts that take the end of their own trouble for the end of an outage. */
    @Test
    void aRemovalAfterTheStoreServesAHostAgainIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedHost turnedAway = hosts.get(seed % hosts.size());
            world.treat(turnedAway, treatment(seed));
            world.runWithOtherChanges(Duration.ofMillis(5000));
            world.treat(turnedAway, SimulatedStore.Treatment.ANSWERED);
            world.runWithOtherChanges(Duration.ofMillis(600 + seed * 75L));
            world.mStore.remove(COLLECTION, LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Guards against members that lose both relays' news and trust neither them nor themselves. */
    @Test
    void aRemovalWhileTheStoreTurnsBothRelaysAwayIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> relays = world.relaysOf("d1");
            relays.forEach(relay -> world.treat(relay, treatment(world.mRandom.nextInt(2))));
            world.runWithOtherChanges(Duration.ofMillis(500 + seed * 200L));
            world.mStore.remove(COLLECTION, LEAVING);
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
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedStore.Treatment treatment = treatment(seed);
            hosts.forEach(host -> world.treat(host, treatment));
            world.run(Duration.ofMillis(4500));
            world.mStore.remove(COLLECTION, LEAVING);
            world.run(Duration.ofMillis(1000));
            hosts.forEach(host -> world.treat(host, SimulatedStore.Treatment.ANSWERED));
            for (int step = 0; step < 13; step++) {
                world.run(Duration.ofMillis(100));
                assertThat(world.hostsSendingTo(LEAVING))
                        .as("seed " + seed + " step " + step)
                        .hasSameSizeAs(hosts);
            }
            world.mStore.put(COLLECTION, LEAVING, World.entry(false, 1));
            world.run(Duration.ofSeconds(4));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).hasSameSizeAs(hosts);
        }
    }

    @Test
    void aServerThatIsNotListedAgainAfterAnOutageIsGone() {
        for (int seed = 0; seed < 20; seed++) {
            World world = new World(seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> hosts = world.mHosts.runningHosts();
            SimulatedStore.Treatment treatment = treatment(seed);
            hosts.forEach(host -> world.treat(host, treatment));
            world.run(Duration.ofMillis(4500));
            world.mStore.remove(COLLECTION, LEAVING);
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
        World world = new World(1);
        world.announce(LEAVING);
        world.runWithOtherChanges(DRAIN_BOUND);
        world.mStore.put(COLLECTION, LEAVING, World.entry(false, 1));
        world.runWithOtherChanges(DRAIN_BOUND);

        assertThat(world.hostsSendingTo(LEAVING)).isEmpty();
    }

    /** Guards against hosts that miss an announcement which the store's watches never deliver. */
    @Test
    void anAnnouncementWithheldUntilTheHistoryIsDroppedIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            World world = new World(seed);
            world.runWithOtherChanges(Duration.ofMillis(2000 + seed * 75L));
            world.mStore.muteWatches();
            world.announce(LEAVING);
            world.runWithOtherChanges(Duration.ofMillis(1000));
            world.mStore.dropHistory();
            world.runWithOtherChanges(DRAIN_BOUND.minusMillis(1000));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Hosts in three failure domains, and 45 servers whose entries change now and then. */
    private static final class World {
        final RelaySimulation mHosts;
        final SimulatedStore mStore;
        final Map<String, SimulatedStore.Access> mAccess = new LinkedHashMap<>();
        final Map<String, HealthTrackingObjectStore> mHealth = new LinkedHashMap<>();
        final Map<String, FleetDirectory> mDirectories = new LinkedHashMap<>();
        final Random mRandom;

        World(long seed) {
            this(seed, HOSTS, WATCH_PAUSE);
        }

        World(long seed, int hosts, Duration watchPause) {
            mHosts = new RelaySimulation(hosts, 3, seed);
            mRandom = new Random(seed);
            mStore = new SimulatedStore(mHosts.loop().scheduler(), watchPause);
            IntStream.range(0, SERVERS)
                    .forEach(server -> mStore.put(COLLECTION, "server-" + server, entry(false, 1)));
            mHosts.hosts().forEach(this::start);
            mHosts.advanceTime(STARTUP_TIME);
        }

        private void start(SimulatedHost host) {
            SimulatedStore.Access access = mStore.new Access();
            StoreAnswerHistory answers = new StoreAnswerHistory();
            HealthTrackingObjectStore health =
                    new HealthTrackingObjectStore(
                            access, answers, mHosts.loop(), (event, fields) -> {});
            RelayedStore store =
                    new RelayedStore(
                            health,
                            answers,
                            host.network(),
                            host.relayedLinks(),
                            mHosts.loop(),
                            (event, fields) -> {});
            store.start();
            FleetDirectory directory =
                    new FleetDirectory(
                            new ServerCollection(),
                            new DrainFollower(new ServerCollection(), (event, fields) -> {}),
                            mHosts.loop(),
                            answers,
                            (event, fields) -> {});
            new CollectionFollower(
                            store,
                            COLLECTION,
                            mHosts.loop(),
                            new Random(host.name().hashCode()),
                            (event, fields) -> {},
                            directory,
                            MAX_RETRY_DELAY)
                    .start();
            mAccess.put(host.name(), access);
            mHealth.put(host.name(), health);
            mDirectories.put(host.name(), directory);
        }

        void announce(String server) {
            mStore.put(COLLECTION, server, entry(true, 1));
        }

        /** Lets one read of the host fail, as after a lost packet. */
        void failOneCall(String host) {
            mAccess.get(host).setTreatment(SimulatedStore.Treatment.REFUSED);
            mHealth.get(host).read("control-shards", "fleet").subscribe();
            mHosts.advanceTime(Duration.ofMillis(5));
            mAccess.get(host).setTreatment(SimulatedStore.Treatment.ANSWERED);
            mHealth.get(host).read("control-shards", "fleet").subscribe();
        }

        void treat(SimulatedHost host, SimulatedStore.Treatment treatment) {
            mAccess.get(host.name()).setTreatment(treatment);
        }

        void run(Duration time) {
            mHosts.advanceTime(time);
        }

        /** Advances the time while entries of other servers change about five times a second. */
        void runWithOtherChanges(Duration time) {
            Duration left = time;
            while (left.compareTo(Duration.ZERO) > 0) {
                Duration step = Duration.ofMillis(Math.min(left.toMillis(), mRandom.nextInt(400)));
                mHosts.advanceTime(step);
                left = left.minus(step);
                String server = "server-" + (1 + mRandom.nextInt(SERVERS - 1));
                mStore.put(COLLECTION, server, entry(false, 1));
            }
        }

        List<SimulatedHost> relaysOf(String domain) {
            return mHosts.relays().stream()
                    .filter(relay -> relay.domain().name().equals(domain))
                    .toList();
        }

        /** Returns the running hosts that would still send calls to the server. */
        List<String> hostsSendingTo(String server) {
            return mHosts.runningHosts().stream()
                    .map(SimulatedHost::name)
                    .filter(
                            host ->
                                    mDirectories.get(host).inService("pool").stream()
                                            .anyMatch(member -> member.instance().equals(server)))
                    .toList();
        }

        static ObjectNode entry(boolean leaving, long startedAt) {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("leaving", leaving)
                    .put("startedAt", startedAt);
        }
    }

    /** Decodes the entries of the simulated servers. */
    private static final class ServerCollection implements ServingCollections {

        @Override
        public String plans() {
            return "plans";
        }

        @Override
        public Optional<Either<String, ServingPlan>> plan(StoredObject object) {
            return Optional.empty();
        }

        @Override
        public String servers() {
            return COLLECTION;
        }

        @Override
        public Either<String, RegisteredServer> server(StoredObject object) {
            return Either.right(
                    new RegisteredServer(
                            object.name(),
                            object.spec().path("startedAt").asLong(),
                            "pool",
                            object.name(),
                            new FailureDomain("d0"),
                            32,
                            object.spec().path("leaving").asBoolean(),
                            OptionalLong.empty(),
                            0,
                            ServerModelState.EMPTY));
        }

        @Override
        public String drains() {
            return "drains";
        }

        @Override
        public FailureDomain drained(StoredObject object) {
            return new FailureDomain(object.name());
        }
    }
}
