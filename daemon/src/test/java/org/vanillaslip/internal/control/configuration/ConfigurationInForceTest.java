package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.control.configuration.TestPlatform.plan;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.control.configuration.TestPlatform.TestHost;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.standins.platform.CallKind;
import org.vanillaslip.messages.ConfigurationItems;
import org.vanillaslip.messages.ConfigurationObject;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Checks that an accepted configuration is in force within seconds and never reverts. */
class ConfigurationInForceTest {

    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(11);
    private static final Duration ONE_MILLISECOND = Duration.ofMillis(1);

    private final TestPlatform mPlatform = new TestPlatform();

    @Test
    void appliesAChangeImmediatelyWithoutFaults() {
        TestHost host = startedHost();
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.advanceTime(ONE_MILLISECOND);
        assertThat(host.rate("p")).isEqualTo(20);
    }

    @Test
    void keepsTheSnapshotDuringAnOutageAndAppliesAChangeAfterIt() {
        TestHost host = startedHost();
        mPlatform.mFaults.setOutage(true);
        mPlatform.advanceTime(Duration.ofHours(1));
        assertThat(host.rate("p")).isEqualTo(10);
        assertThat(host.watcher().age()).isBetween(Duration.ofMinutes(59), Duration.ofMinutes(61));
        // Two collections with one attempt each per 2.5 s on average.
        assertThat(mPlatform.mCallCounts.of(CallKind.WATCH)).isLessThan(4000);

        mPlatform.mFaults.setOutage(false);
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.rate("p")).isEqualTo(20);
        assertThat(host.watcher().age()).isLessThan(Duration.ofSeconds(6));
    }

    @Test
    void appliesAWriteWhoseResponseWasLost() {
        TestHost host = startedHost();
        long version = mPlatform.read("p").version();
        mPlatform.mFaults.setLostWriteAnswers(1);
        assertThat(mPlatform.write(version, plan("p", 20)).getLeft())
                .isEqualTo(PlatformFailure.OUTCOME_UNKNOWN);
        mPlatform.advanceTime(ONE_MILLISECOND);
        assertThat(host.rate("p")).isEqualTo(20);
        assertThat(mPlatform.write(version, plan("p", 15)).getLeft())
                .isEqualTo(PlatformFailure.CONFLICT);
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.rate("p")).isEqualTo(20);
    }

    @Test
    void resumesABrokenWatchWithoutListingWhileTheHistoryCoversTheGap() {
        TestHost host = startedHost();
        long listCalls = mPlatform.mCallCounts.of(CallKind.LIST);
        mPlatform.mStorage.breakWatches();
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.rate("p")).isEqualTo(20);
        assertThat(mPlatform.mCallCounts.of(CallKind.LIST)).isEqualTo(listCalls);
    }

    @Test
    void listsAgainWhenTheHistoryNoLongerCoversTheGap() {
        TestHost host = startedHost();
        mPlatform.write(0, plan("q", 1));
        mPlatform.advanceTime(ONE_MILLISECOND);
        mPlatform.mStorage.breakWatches();
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.mStorage.delete("configuration", "plan.q", 0);
        mPlatform.mStorage.forgetHistory();
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.rate("p")).isEqualTo(20);
        assertThat(host.plans()).containsOnlyKeys("p");
    }

    /** The watches stay silent, and each list call takes almost its limit of 2 s. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2_500, 4_999, 5_000, 5_001, 20_000})
    void appliesEachChangeInTimeWhileWatchesAreSilent(int millisBeforeTheChange) {
        TestHost host = startedHost();
        mPlatform.mFaults.setSilentWatches(true);
        mPlatform.mFaults.setLatency(Duration.ofMillis(1_900));
        mPlatform.advanceTime(Duration.ofMillis(millisBeforeTheChange));
        for (int rate = 20; rate < 25; rate++) {
            mPlatform.mStorage.update(
                    PlatformCollections.CONFIGURATION,
                    "plan.p",
                    mPlatform.read("p").version(),
                    mPlatform.mCodec.encode(
                            new ItemName(ItemKind.PLAN, "p"), Optional.of(plan("p", rate))));
            mPlatform.advanceTime(IN_FORCE_LIMIT);
            assertThat(host.rate("p")).isEqualTo(rate);
        }
    }

    @Test
    void retriesAFailedPeriodicListWithBackoff() {
        AtomicBoolean lossy = new AtomicBoolean();
        ObjectStore store = new LossyWatchStore(mPlatform.store("a"), lossy);
        mPlatform.write(0, plan("p", 10));
        TestHost host = mPlatform.startHost("a", store);
        mPlatform.advanceTime(ONE_MILLISECOND);
        lossy.set(true);
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        long listCalls = mPlatform.mCallCounts.of(CallKind.LIST);
        while (mPlatform.mCallCounts.of(CallKind.LIST) == listCalls) {
            mPlatform.mFaults.setThrottledCalls(100, Duration.ofSeconds(1));
            mPlatform.advanceTime(Duration.ofMillis(10));
        }
        mPlatform.advanceTime(Duration.ofSeconds(10));
        // The bounds of the first delays are 0.2, 0.4, 0.8, ... seconds, so there is no burst of
        // calls.
        assertThat(mPlatform.mCallCounts.of(CallKind.LIST) - listCalls).isBetween(2L, 40L);
        assertThat(host.rate("p")).isEqualTo(10);
        mPlatform.mFaults.setThrottledCalls(0, Duration.ZERO);
        mPlatform.advanceTime(Duration.ofMinutes(1));
        assertThat(host.rate("p")).isEqualTo(20);
    }

    @Test
    void appliesAChangeWhoseEventWasLostAtTheNextPeriodicList() {
        AtomicBoolean lossy = new AtomicBoolean();
        ObjectStore store = new LossyWatchStore(mPlatform.store("a"), lossy);
        mPlatform.write(0, plan("p", 10));
        TestHost host = mPlatform.startHost("a", store);
        mPlatform.advanceTime(ONE_MILLISECOND);
        lossy.set(true);
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.advanceTime(Duration.ofMinutes(8));
        assertThat(host.rate("p")).isEqualTo(10);
        mPlatform.advanceTime(Duration.ofMinutes(3));
        assertThat(host.rate("p")).isEqualTo(20);
    }

    @Test
    void ignoresAnOlderVersionFromAPeer() {
        TestHost host = startedHost();
        StoredObject old = mPlatform.read("p");
        mPlatform.mNetwork.handle("stale", request -> Mono.just(reply(old)));
        mPlatform.write(old.version(), plan("p", 20));
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.rate("p")).isEqualTo(20);

        ItemName name = new ItemName(ItemKind.PLAN, "p");
        mPlatform.write(mPlatform.read("p").version(), name, Optional.empty());
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(host.plans()).isEmpty();
    }

    @Test
    void appliesChangesFromPeersWhenThePlatformIsUnreachable() {
        mPlatform.mFaults.setRefusedFailureDomains(Set.of("b"));
        mPlatform.addHost("a");
        mPlatform.addHost("b");
        TestHost connected = startedHost();
        TestHost disconnected = mPlatform.startHost("b");
        mPlatform.write(mPlatform.read("p").version(), plan("p", 20));
        mPlatform.advanceTime(Duration.ofSeconds(3));
        assertThat(disconnected.rate("p")).isEqualTo(20);
        assertThat(disconnected.watcher().version()).isEqualTo(connected.watcher().version());
    }

    @Test
    void getsTheSnapshotFromAPeerAfterARestartDuringAnOutage() {
        TestHost other = startedHost();
        TestHost firstRun = mPlatform.startHost("b");
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        mPlatform.mFaults.setOutage(true);
        firstRun.subscriptions().dispose();
        mPlatform.mNetwork.disconnect("b");

        TestHost secondRun = mPlatform.startHost("b");
        mPlatform.advanceTime(Duration.ofMinutes(1));
        assertThat(secondRun.watcher().current()).isEmpty();

        mPlatform.mNetwork.reconnect("b");
        mPlatform.advanceTime(Duration.ofSeconds(3));
        assertThat(secondRun.watcher().current()).isEqualTo(other.watcher().current());
        // The age of the peer's copy is unknown, so it must not count as recently confirmed.
        assertThat(secondRun.watcher().age()).isGreaterThan(Duration.ofDays(365));
    }

    @Test
    void rejectsTheSecondOfTwoConcurrentWritesOfOneVersion() {
        TestHost first = startedHost();
        TestHost second = mPlatform.startHost("b");
        long version = mPlatform.read("p").version();
        assertThat(mPlatform.write(version, plan("p", 20)).isRight()).isTrue();
        assertThat(mPlatform.write(version, plan("p", 30)).getLeft())
                .isEqualTo(PlatformFailure.CONFLICT);
        mPlatform.advanceTime(IN_FORCE_LIMIT);
        assertThat(first.rate("p")).isEqualTo(20);
        assertThat(second.rate("p")).isEqualTo(20);
    }

    private TestHost startedHost() {
        mPlatform.write(0, plan("p", 10));
        TestHost host = mPlatform.startHost("a");
        mPlatform.advanceTime(ONE_MILLISECOND);
        assertThat(host.rate("p")).isEqualTo(10);
        return host;
    }

    private static Envelope.Builder reply(StoredObject object) {
        byte[] spec = new ObjectJsonCodec(new ObjectMapper()).toBytes(object.spec());
        return Envelope.newBuilder()
                .setConfigurationItems(
                        ConfigurationItems.newBuilder()
                                .addObjects(
                                        ConfigurationObject.newBuilder()
                                                .setName(object.name())
                                                .setVersion(object.version())
                                                .setSpecJson(ByteString.copyFrom(spec))));
    }
}
