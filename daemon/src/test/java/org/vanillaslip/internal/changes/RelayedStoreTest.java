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
import org.vanillaslip.internal.peer.RelayWorld;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** Guards that each host learns of each change in time, though few hosts watch the store. */
class RelayedStoreTest {

    private static final String COLLECTION = "servers";
    private static final Duration LONGEST_RETRY = Duration.ofMillis(400);
    private static final Duration SETTLED = Duration.ofSeconds(14);

    /** A change has to be in force within this time on the smallest bound of large deployments. */
    private static final Duration BOUND = Duration.ofMillis(3000);

    private final RelayWorld mWorld = new RelayWorld(30, 3, 1);
    private final FakeObjectStore.Shared mShared = new FakeObjectStore.Shared();
    private final Map<String, FakeObjectStore> mStores = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> mKnown = new LinkedHashMap<>();

    @BeforeEach
    void start() {
        mWorld.members().forEach(this::start);
        mWorld.run(SETTLED);
    }

    @Test
    void aChangeReachesAllHostsAtOnceThoughOnlyRelaysWatch() {
        Map<String, Integer> before = watches();
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(Duration.ofMillis(100));

        assertThat(uninformed("one")).isEmpty();
        assertThat(watches()).isEqualTo(before);
        assertThat(
                        mWorld.members().stream()
                                .filter(member -> !member.network().relay())
                                .map(member -> store(member).lists()))
                .allMatch(lists -> lists <= 2);
    }

    @Test
    void aRemovedObjectIsRemovedEverywhere() {
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(Duration.ofMillis(100));
        mShared.change(COLLECTION, "one", WatchEventType.DELETED);
        mWorld.run(Duration.ofMillis(100));

        assertThat(mKnown.values()).noneMatch(known -> known.containsKey("one"));
    }

    @Test
    void aChangeAfterTheLossOfBothRelaysReachesAllHostsInTime() {
        mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals("d1"))
                .forEach(mWorld::freeze);
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(BOUND);

        assertThat(uninformed("one")).isEmpty();
    }

    /** One relay's connection to the store is open and silent; the other relay makes up for it. */
    @Test
    void aRelayWithASilentWatchHoldsNoChangeBack() {
        RelayWorld.Member silent = mWorld.relays().get(0);
        store(silent).setSilent(true);
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(Duration.ofMillis(1000));

        assertThat(uninformed("one")).isSubsetOf(silent.name());
    }

    /** A host that reaches no store itself still learns of changes. */
    @Test
    void hostsWithoutTheStoreLearnOfChangesFromRelays() {
        List<RelayWorld.Member> plain =
                mWorld.members().stream().filter(member -> !member.network().relay()).toList();
        plain.forEach(member -> store(member).setAway(true));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(Duration.ofMillis(100));

        assertThat(uninformed("one")).isEmpty();
    }

    /** The store turns the relays of a domain away and serves the other hosts. */
    @Test
    void hostsWhoseRelaysLackTheStoreGoThereThemselves() {
        mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals("d1"))
                .forEach(relay -> store(relay).setAway(true));
        mWorld.run(Duration.ofSeconds(5));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(BOUND);

        assertThat(uninformed("one"))
                .isSubsetOf(
                        mWorld.relays().stream()
                                .filter(relay -> relay.domain().name().equals("d1"))
                                .map(RelayWorld.Member::name)
                                .toList());
    }

    /** Guards against relays that confirm old news while each new watch of theirs fails. */
    @Test
    void aChangeJustAfterBothRelaysLostTheStoreReachesTheirMembersInTime() {
        List<RelayWorld.Member> relays = relaysOf("d1");
        relays.forEach(relay -> store(relay).setAway(true));
        mWorld.run(Duration.ofMillis(20));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(BOUND);

        assertThat(uninformed("one"))
                .isSubsetOf(relays.stream().map(RelayWorld.Member::name).toList());
    }

    /** The watches of both relays are open and silent from now on. */
    @Test
    void aChangeThatTheSilentWatchesOfBothRelaysMissReachesTheirMembersInTime() {
        List<RelayWorld.Member> relays = relaysOf("d1");
        relays.forEach(relay -> store(relay).setSilent(true));
        mShared.change(COLLECTION, "one", WatchEventType.MODIFIED);
        mWorld.run(BOUND);

        assertThat(uninformed("one"))
                .isSubsetOf(relays.stream().map(RelayWorld.Member::name).toList());
    }

    /** A relay that was suspended wakes up with old news; nothing that is known is taken back. */
    @Test
    void manyChangesDuringLossesLeaveNoHostBehind() {
        Random random = new Random(5);
        for (int change = 0; change < 200; change++) {
            mShared.change(COLLECTION, "object-" + random.nextInt(20), WatchEventType.MODIFIED);
            if (change == 50) {
                mWorld.kill(mWorld.relays().get(random.nextInt(6)));
            } else if (change == 90) {
                mWorld.freeze(mWorld.relays().get(random.nextInt(6)));
            }
            mWorld.run(Duration.ofMillis(random.nextInt(100)));
        }
        mWorld.run(BOUND);

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
        mWorld.run(Duration.ofMillis(10));
        for (RelayWorld.Member member : mWorld.live()) {
            assertThat(mKnown.get(member.name())).as(member.name()).isEqualTo(newest);
        }
    }

    private List<RelayWorld.Member> relaysOf(String domain) {
        return mWorld.relays().stream()
                .filter(relay -> relay.domain().name().equals(domain))
                .toList();
    }

    private void start(RelayWorld.Member member) {
        FakeObjectStore store = new FakeObjectStore(mShared, mWorld.loop().scheduler());
        RelayedStore relayed =
                new RelayedStore(
                        store,
                        store::isAway,
                        member.network(),
                        member.links(),
                        mWorld.loop(),
                        (event, fields) -> {});
        relayed.start();
        Map<String, Long> known = new HashMap<>();
        mStores.put(member.name(), store);
        mKnown.put(member.name(), known);
        new CollectionFollower(
                        relayed,
                        COLLECTION,
                        mWorld.loop(),
                        new Random(member.name().hashCode()),
                        (event, fields) -> {},
                        new Listener(known),
                        LONGEST_RETRY)
                .start();
    }

    private FakeObjectStore store(RelayWorld.Member member) {
        return mStores.getOrDefault(
                member.name(), new FakeObjectStore(mShared, mWorld.loop().scheduler()));
    }

    private Map<String, Integer> watches() {
        Map<String, Integer> watches = new HashMap<>();
        mStores.forEach((name, store) -> watches.put(name, store.watches()));
        return watches;
    }

    private List<String> uninformed(String object) {
        Predicate<String> informed =
                host -> mKnown.getOrDefault(host, Map.of()).containsKey(object);
        return mWorld.live().stream()
                .map(RelayWorld.Member::name)
                .filter(informed.negate())
                .toList();
    }

    /** Keeps the newest version of each object. */
    private record Listener(Map<String, Long> known) implements CollectionListener {

        @Override
        public void listed(ObjectList list) {
            list.objects().forEach(this::put);
        }

        @Override
        public void changed(WatchEvent event) {
            if (event.type() == WatchEventType.DELETED) {
                known.remove(event.object().name());
            } else if (event.type() != WatchEventType.BOOKMARK) {
                put(event.object());
            }
        }

        private void put(StoredObject object) {
            known.merge(object.name(), object.version(), Math::max);
        }
    }
}
