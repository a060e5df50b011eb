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

/** Guards the way of shares through the platform, and of slots through the lease holder. */
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
    void hostsShareEquallyAndAReplacementGetsTheShareOfAVanishedHost() {
        mViews.setHolder("one");
        list("one", "two");
        controller("one");
        controller("two");
        mNetwork.advance(Duration.ofSeconds(10));
        assertThat(parts("one")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
        assertThat(parts("two")).isEqualTo(ShareTable.TOTAL_PARTS / 2);

        mNetwork.setCutOff("two", true);
        list("one", "three");
        controller("three");
        mNetwork.advance(Duration.ofSeconds(50));
        assertThat(parts("two")).as("an unlisted host stops using its share").isZero();
        assertThat(parts("three")).isZero();
        mNetwork.advance(Duration.ofSeconds(20));
        assertThat(parts("three")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
    }

    /** A host that keeps an old table would use parts that another host was given. */
    @ParameterizedTest
    @EnumSource(StoreFault.class)
    void sharesAreNeverUsedTwiceAndAllArriveUnderFaultsOfTheStore(StoreFault fault) {
        mStore.setFault(fault);
        mViews.setHolder("one");
        list("one", "two");
        controller("one");
        controller("two");
        watchShares(20);
        assertThat(parts("two")).isEqualTo(ShareTable.TOTAL_PARTS / 2);
        list("one", "two", "three");
        controller("three");
        watchShares(40);
        assertThat(parts("three")).isEqualTo(ShareTable.TOTAL_PARTS / 3);
        assertThat(mStore.writes()).isLessThan(25);
    }

    private void watchShares(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mNetwork.advance(Duration.ofSeconds(1));
            long used = mControllers.keySet().stream().mapToLong(this::parts).sum();
            assertThat(used).isLessThanOrEqualTo(ShareTable.TOTAL_PARTS);
        }
    }

    @Test
    void startingServerRunsNoMoreThanItsSlotsOverAllHosts() {
        mViews.setHolder("one");
        mViews.setLoad(new ServerLoad("s1", Duration.ofSeconds(1), 0, 0));
        SlotService one = slots("one");
        SlotService two = slots("two");
        mNetwork.advance(Duration.ofSeconds(8));
        List<Optional<Slot>> taken = new ArrayList<>();
        take(one, taken);
        take(two, taken);
        take(two, taken);
        assertThat(taken).filteredOn(Optional::isPresent).hasSize(2);
        taken.get(1).orElseThrow().release();
        mNetwork.advance(Duration.ofSeconds(30));
        take(one, taken);
        take(two, taken);
        assertThat(taken).filteredOn(Optional::isPresent).hasSize(3);
    }

    /** Without a way to the holder, servers of other domains were never used as a fallback. */
    @Test
    void hostOfAnotherDomainGetsASlotThroughAHostThatIsNotTheHolder() {
        list("one", "two");
        mViews.setHolder("two");
        mViews.setLoad(new ServerLoad("s1", Duration.ofSeconds(1), 0, 0));
        FakeViews remote = new FakeViews(SERVER);
        remote.setHosts(mViews.hosts().hosts());
        slots("one");
        slots("two");
        SlotService three = slots("three", remote);
        mNetwork.advance(Duration.ofSeconds(8));
        List<Optional<Slot>> taken = new ArrayList<>();
        three.acquire(new Replica(SERVER, "", ModelName.parse("model")), Duration.ofMillis(500))
                .subscribe(taken::add);
        mNetwork.advance(Duration.ofSeconds(1));
        assertThat(taken).singleElement().satisfies(slot -> assertThat(slot).isPresent());
    }

    @Test
    void warmServerNeedsNoSlots() {
        mViews.setLoad(new ServerLoad("s1", Duration.ofMinutes(61), 50, 0));
        List<Optional<Slot>> taken = new ArrayList<>();
        take(slots("two"), taken);
        assertThat(taken.get(0)).isPresent();
    }

    private void take(SlotService service, List<Optional<Slot>> taken) {
        Replica replica = new Replica(SERVER, "s1", ModelName.parse("model"));
        service.acquire(replica, Duration.ofMillis(200)).subscribe(taken::add);
        mNetwork.advance(Duration.ofMillis(300));
    }

    private SlotService slots(String host) {
        return slots(host, mViews);
    }

    private SlotService slots(String host, FakeViews views) {
        SlotService service =
                new SlotService(
                        host,
                        mNetwork.loop(),
                        views.configuration(),
                        views.hosts(),
                        views,
                        mNetwork.join(host),
                        mRandom::nextLong,
                        (event, fields) -> {});
        service.start();
        return service;
    }

    private void list(String... hosts) {
        mViews.setHosts(
                List.of(hosts).stream().map(name -> new Host(name, DOMAIN, "", false)).toList());
    }

    private long parts(String host) {
        return mControllers.get(host).ownParts();
    }

    private void controller(String host) {
        ShareTableController controller =
                new ShareTableController(
                        host,
                        DOMAIN,
                        mNetwork.loop(),
                        mViews.configuration(),
                        mViews.hosts(),
                        mViews,
                        mStore,
                        mNetwork.join(host),
                        mRandom,
                        (event, fields) -> {});
        controller.start(() -> true);
        mControllers.put(host, controller);
    }
}
