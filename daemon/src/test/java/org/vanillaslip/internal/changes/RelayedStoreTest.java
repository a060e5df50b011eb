package org.vanillaslip.internal.changes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.fleet.StoreAnswerHistory;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** Guards that each change reaches all hosts in time although few hosts watch the store. */
class RelayedStoreTest {

    private static final String COLLECTION = "servers";
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);
    private static final Duration STARTUP_TIME = Duration.ofSeconds(14);

    /** The smallest time in which large deployments require a change to be in force. */
    private static final Duration PROPAGATION_BOUND = Duration.ofMillis(3000);

    private final RelaySimulation mWorld = new RelaySimulation(30, 3, 1);
    private final FakeObjectStore.SharedCollection mShared = new FakeObjectStore.SharedCollection();
    private final Map<String, FakeObjectStore> mStores = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> mVersionsByHost = new LinkedHashMap<>();

    @BeforeEach
    void start() {
        mWorld.hosts().forEach(this::start);
        mWorld.advanceTime(STARTUP_TIME);
    }

    @Test
    void aChangeReachesAllHostsThroughTheRelaysAlone() {
        Map<String, Integer> before = watchCounts();
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(Duration.ofMillis(100));

        assertThat(hostsWithout("one")).isEmpty();
        assertThat(watchCounts()).isEqualTo(before);
        assertThat(
                        mWorld.hosts().stream()
                                .filter(member -> !member.network().isRelay())
                                .map(member -> store(member).listCount()))
                .allMatch(lists -> lists <= 2);
    }

    @Test
    void aDeletionReachesAllHosts() {
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(Duration.ofMillis(100));
        mShared.change(COLLECTION, "one", WatchEventType.DELETED);
        mWorld.advanceTime(Duration.ofMillis(100));

        assertThat(mVersionsByHost.values()).noneMatch(versions -> versions.containsKey("one"));
    }

    @Test
    void aChangeAfterTheFailureOfBothRelaysReachesAllHostsInTime() {
        mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals("d1"))
                .forEach(mWorld::suspend);
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(PROPAGATION_BOUND);

        assertThat(hostsWithout("one")).isEmpty();
    }

    /** Guards against a relay that misses a change of which only the other relay's watch tells. */
    @Test
    void aRelayWithASilentWatchLearnsOfAChangeFromTheOtherRelay() {
        RelaySimulation.SimulatedHost silent = mWorld.relays().get(0);
        store(silent).setSilent(true);
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(Duration.ofMillis(1000));

        assertThat(hostsWithout("one")).isEmpty();
    }

    /** A host that cannot reach the store itself still receives changes. */
    @Test
    void hostsWithoutStoreAccessReceiveChangesFromRelays() {
        List<RelaySimulation.SimulatedHost> ordinaryHosts =
                mWorld.hosts().stream().filter(member -> !member.network().isRelay()).toList();
        ordinaryHosts.forEach(member -> store(member).setUnavailable(true));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(Duration.ofMillis(100));

        assertThat(hostsWithout("one")).isEmpty();
    }

    /** The store refuses the relays of one domain and serves all other hosts. */
    @Test
    void hostsWhoseRelaysHaveNoStoreAccessWatchTheStore() {
        mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals("d1"))
                .forEach(relay -> store(relay).setUnavailable(true));
        mWorld.advanceTime(Duration.ofSeconds(5));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(PROPAGATION_BOUND);

        assertThat(hostsWithout("one"))
                .isSubsetOf(
                        mWorld.relays().stream()
                                .filter(relay -> relay.domain().name().equals("d1"))
                                .map(RelaySimulation.SimulatedHost::name)
                                .toList());
    }

    /** Guards against relays that confirm an old position while each of their new watches fails. */
    @Test
    void aChangeJustAfterBothRelaysLoseStoreAccessReachesTheirMembersInTime() {
        List<RelaySimulation.SimulatedHost> relays = relaysOf("d1");
        relays.forEach(relay -> store(relay).setUnavailable(true));
        mWorld.advanceTime(Duration.ofMillis(20));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(PROPAGATION_BOUND);

        assertThat(hostsWithout("one"))
                .isSubsetOf(relays.stream().map(RelaySimulation.SimulatedHost::name).toList());
    }

    /** The watches of both relays are open but silent. */
    @Test
    void aChangeMissedByTheSilentWatchesOfBothRelaysReachesTheirMembersInTime() {
        List<RelaySimulation.SimulatedHost> relays = relaysOf("d1");
        relays.forEach(relay -> store(relay).setSilent(true));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.advanceTime(PROPAGATION_BOUND);

        assertThat(hostsWithout("one"))
                .isSubsetOf(relays.stream().map(RelaySimulation.SimulatedHost::name).toList());
    }

    /** A relay that resumes after a pause sends old changes, which must not undo newer ones. */
    @Test
    void allHostsReachTheNewestVersionsAfterRelayFailures() {
        Random random = new Random(5);
        for (int change = 0; change < 200; change++) {
            mShared.change(COLLECTION, "object-" + random.nextInt(20), WatchEventType.MODIFIED);
            if (change == 50) {
                mWorld.crash(mWorld.relays().get(random.nextInt(6)));
            } else if (change == 90) {
                mWorld.suspend(mWorld.relays().get(random.nextInt(6)));
            }
            mWorld.advanceTime(Duration.ofMillis(random.nextInt(100)));
        }
        mWorld.advanceTime(PROPAGATION_BOUND);

        Map<String, Long> newest = new HashMap<>();
        mStores.values()
                .iterator()
                .next()
                .list(COLLECTION)
                .subscribe(
                        list ->
                                list.get()
                                        .objects()
                                        .forEach(
                                                object ->
                                                        newest.put(
                                                                object.name(), object.version())));
        mWorld.advanceTime(Duration.ofMillis(10));
        for (RelaySimulation.SimulatedHost member : mWorld.runningHosts()) {
            assertThat(mVersionsByHost.get(member.name())).as(member.name()).isEqualTo(newest);
        }
    }

    private List<RelaySimulation.SimulatedHost> relaysOf(String domain) {
        return mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals(domain))
                .toList();
    }

    private void start(RelaySimulation.SimulatedHost member) {
        FakeObjectStore store = new FakeObjectStore(mShared, mWorld.loop().scheduler());
        RelayedStore relayedStore =
                new RelayedStore(
                        store,
                        new StoreAnswerHistory(),
                        member.network(),
                        member.relayedLinks(),
                        mWorld.loop(),
                        (event, fields) -> {});
        relayedStore.start();
        Map<String, Long> versions = new HashMap<>();
        mStores.put(member.name(), store);
        mVersionsByHost.put(member.name(), versions);
        new CollectionFollower(
                        relayedStore,
                        COLLECTION,
                        mWorld.loop(),
                        new Random(member.name().hashCode()),
                        (event, fields) -> {},
                        new NewestVersionListener(versions),
                        MAX_RETRY_DELAY)
                .start();
    }

    private FakeObjectStore store(RelaySimulation.SimulatedHost member) {
        return mStores.getOrDefault(
                member.name(), new FakeObjectStore(mShared, mWorld.loop().scheduler()));
    }

    private Map<String, Integer> watchCounts() {
        Map<String, Integer> watches = new HashMap<>();
        mStores.forEach((name, store) -> watches.put(name, store.watchCount()));
        return watches;
    }

    private List<String> hostsWithout(String object) {
        Predicate<String> hasObject =
                host -> mVersionsByHost.getOrDefault(host, Map.of()).containsKey(object);
        return mWorld.runningHosts().stream()
                .map(RelaySimulation.SimulatedHost::name)
                .filter(hasObject.negate())
                .toList();
    }

    /** Keeps the newest version of each object. */
    private record NewestVersionListener(Map<String, Long> versions) implements CollectionListener {

        @Override
        public void listed(ObjectList list) {
            list.objects().forEach(this::put);
        }

        @Override
        public void changed(WatchEvent event) {
            if (event.type() == WatchEventType.DELETED) {
                versions.remove(event.object().name());
            } else if (event.type() != WatchEventType.BOOKMARK) {
                put(event.object());
            }
        }

        private void put(StoredObject object) {
            versions.merge(object.name(), object.version(), Math::max);
        }
    }
}
