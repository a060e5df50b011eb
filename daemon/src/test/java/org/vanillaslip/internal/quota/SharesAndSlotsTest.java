package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.ModelName;
import org.vanillaslip.SlowStart;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.gateway.Slot;
import org.vanillaslip.internal.peer.FakePeerNetwork;
import reactor.core.Disposable;

/** Guards against shares used by two hosts at once, and against slots granted beyond the limit. */
class SharesAndSlotsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private static final BackendServer SERVER =
            new BackendServer(
                    "server",
                    DOMAIN,
                    "127.0.0.1:1",
                    BackendKind.MODEL_ENGINE,
                    "pool",
                    "shard",
                    1,
                    1,
                    true,
                    false,
                    new SlowStart(2, 20, Duration.ofHours(1)));

    private final Random mRandom = new Random(1);
    private final FakePeerNetwork mNetwork = new FakePeerNetwork(1);
    private final FakeViews mViews = new FakeViews(SERVER);
    private final FaultyMemoryStore mStore = new FaultyMemoryStore();
    private final Map<String, ShareTableController> mControllers = new TreeMap<>();

    @Test
    void hostsGetEqualSharesAndAReplacementGetsTheShareOfAVanishedHost() {
        mViews.setHolder("one");
        setListedHosts("one", "two");
        startController("one");
        startController("two");
        mNetwork.advanceTime(Duration.ofSeconds(10));
        assertThat(ownParts("one")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
        assertThat(ownParts("two")).isEqualTo(ShareTable.TOTAL_PARTS / 2);

        mNetwork.setDisconnected("two", true);
        setListedHosts("one", "three");
        startController("three");
        mNetwork.advanceTime(Duration.ofSeconds(50));
        assertThat(ownParts("two")).as("an unlisted host stops using its share").isZero();
        assertThat(ownParts("three")).isZero();
        mNetwork.advanceTime(Duration.ofSeconds(20));
        assertThat(ownParts("three")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
    }

    /** A host that misses a new table would keep using parts that now belong to another host. */
    @ParameterizedTest
    @EnumSource(StoreFault.class)
    void sharesNeverOverlapAndReachAllHostsUnderStoreFaults(StoreFault fault) {
        mStore.setFault(fault);
        mViews.setHolder("one");
        setListedHosts("one", "two");
        startController("one");
        startController("two");
        checkSharesEverySecond(20);
        assertThat(ownParts("two")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
        setListedHosts("one", "two", "three");
        startController("three");
        checkSharesEverySecond(40);
        assertThat(ownParts("three")).isEqualTo(ShareTable.TOTAL_PARTS / 3);
        assertThat(mStore.writeCount()).isLessThan(25);
    }

    /** A host that had stopped logged an error when the next change of a table arrived. */
    @Test
    void aStoppedControllerNoLongerWatchesTheTables() {
        setListedHosts("one");
        Disposable controller = startController("one");
        mNetwork.advanceTime(Duration.ofSeconds(5));
        boolean watched = mStore.isWatched();
        controller.dispose();

        assertThat(watched).isTrue();
        assertThat(mStore.isWatched()).isFalse();
    }

    /** The mirror of it: the watch had ended, and the controller was about to list again. */
    @Test
    void aControllerThatIsStoppedAfterItsWatchEndedDoesNotWatchAgain() {
        setListedHosts("one");
        Disposable controller = startController("one");
        mNetwork.advanceTime(Duration.ofSeconds(5));
        mStore.endWatches();
        mNetwork.advanceTime(Duration.ofMillis(100));
        controller.dispose();
        mNetwork.advanceTime(Duration.ofSeconds(5));

        assertThat(mStore.isWatched()).isFalse();
    }

    private void checkSharesEverySecond(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mNetwork.advanceTime(Duration.ofSeconds(1));
            long used = mControllers.keySet().stream().mapToLong(this::ownParts).sum();
            assertThat(used).isLessThanOrEqualTo(ShareTable.TOTAL_PARTS);
        }
    }

    @Test
    void startingServerRunsAtMostItsSlotsOverAllHosts() {
        mViews.setHolder("one");
        mViews.setLoad(new ServerLoad("s1", Duration.ofSeconds(1), 0, 0));
        SlotService one = startSlotService("one");
        SlotService two = startSlotService("two");
        mNetwork.advanceTime(Duration.ofSeconds(8));
        List<Optional<Slot>> acquired = new ArrayList<>();
        acquire(one, acquired);
        acquire(two, acquired);
        acquire(two, acquired);
        assertThat(acquired).filteredOn(Optional::isPresent).hasSize(2);
        acquired.get(1).orElseThrow().release();
        mNetwork.advanceTime(Duration.ofSeconds(30));
        acquire(one, acquired);
        acquire(two, acquired);
        assertThat(acquired).filteredOn(Optional::isPresent).hasSize(3);
    }

    /** Servers of other domains were never used as a fallback, as no request reached the holder. */
    @Test
    void hostOfAnotherDomainGetsASlotThroughAHostThatIsNotTheLeaseHolder() {
        setListedHosts("one", "two");
        mViews.setHolder("two");
        mViews.setLoad(new ServerLoad("s1", Duration.ofSeconds(1), 0, 0));
        FakeViews remote = new FakeViews(SERVER);
        remote.setHosts(mViews.hosts().hosts());
        startSlotService("one");
        startSlotService("two");
        SlotService three = startSlotService("three", remote);
        mNetwork.advanceTime(Duration.ofSeconds(8));
        List<Optional<Slot>> acquired = new ArrayList<>();
        three.acquire(new Replica(SERVER, "", ModelName.parse("model")), Duration.ofMillis(500))
                .subscribe(acquired::add);
        mNetwork.advanceTime(Duration.ofSeconds(1));
        assertThat(acquired).singleElement().satisfies(slot -> assertThat(slot).isPresent());
    }

    @Test
    void warmServerNeedsNoSlots() {
        mViews.setLoad(new ServerLoad("s1", Duration.ofMinutes(61), 50, 0));
        List<Optional<Slot>> acquired = new ArrayList<>();
        acquire(startSlotService("two"), acquired);
        assertThat(acquired.get(0)).isPresent();
    }

    private void acquire(SlotService service, List<Optional<Slot>> acquired) {
        Replica replica = new Replica(SERVER, "s1", ModelName.parse("model"));
        service.acquire(replica, Duration.ofMillis(200)).subscribe(acquired::add);
        mNetwork.advanceTime(Duration.ofMillis(300));
    }

    private SlotService startSlotService(String host) {
        return startSlotService(host, mViews);
    }

    private SlotService startSlotService(String host, FakeViews views) {
        SlotService service =
                new SlotService(
                        host,
                        mNetwork.loop(),
                        views.configuration(),
                        views.hosts(),
                        views,
                        mNetwork.addHost(host),
                        mRandom::nextLong,
                        (event, fields) -> {});
        service.start();
        return service;
    }

    private void setListedHosts(String... hosts) {
        mViews.setHosts(
                List.of(hosts).stream().map(name -> new Host(name, DOMAIN, "", false)).toList());
    }

    private long ownParts(String host) {
        return mControllers.get(host).ownParts();
    }

    private Disposable startController(String host) {
        ShareTableController controller =
                new ShareTableController(
                        host,
                        DOMAIN,
                        mNetwork.loop(),
                        mViews.configuration(),
                        mViews.hosts(),
                        mViews,
                        mStore,
                        mNetwork.addHost(host),
                        mRandom,
                        (event, fields) -> {});
        mControllers.put(host, controller);
        return controller.start(() -> true);
    }
}
