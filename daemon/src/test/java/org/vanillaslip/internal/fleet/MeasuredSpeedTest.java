package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.logging.LogEvent;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerHandler;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.settings.RoutingSettings;
import org.vanillaslip.internal.settings.ServerSpeed;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.FleetDigest;
import org.vanillaslip.messages.RunningCalls;
import org.vanillaslip.messages.ServerState;
import reactor.core.publisher.Mono;

/** Tests how event gaps reach the lease holder and speeds come back, between two hosts. */
class MeasuredSpeedTest {

    private static final Optional<ModelName> MODEL =
            Optional.of(new ModelName("m0", Optional.empty()));
    private static final Duration STEP = Duration.ofMillis(100);

    private final LeaseSimulation mLeases = new LeaseSimulation(2);
    private final List<Envelope> mSent = new ArrayList<>();
    private final List<LogEvent> mEvents = new ArrayList<>();

    @Test
    void allHostsLearnTheSpeedOfAServerThatOneHostMeasures() {
        Pair hosts = new Pair(ServerSpeed.MEASURED);
        hosts.stream(Duration.ofSeconds(30), 2);

        assertThat(hosts.mMember.speed("a")).isCloseTo(0.5, within(0.03));
        assertThat(hosts.mMember.speed("b")).isEqualTo(1);
        assertThat(hosts.mHolder.speed("a")).isCloseTo(0.5, within(0.03));
        assertThat(hosts.mHolder.mMetrics.scrape())
                .contains("vanillaslip_server_speed{pool=\"pool\",server=\"a\"} 0.5");
        assertThat(hosts.mMember.mMetrics.scrape()).doesNotContain("vanillaslip_server_speed{");
        assertThat(mEvents).containsExactly(SpeedEvent.SPEED_CHANGED);
    }

    /**
     * Guards against loads of plain services that come from the lease holder, which only knows its
     * own calls there, and against a speed that passes for a report of the server's models.
     */
    @Test
    void onlyTheSpeedIsLearntOfServersWithoutModels() {
        Pair hosts = new Pair(ServerSpeed.MEASURED, Optional.empty());
        for (int call = 0; call < 5; call++) {
            hosts.mHolder.reserve("a");
        }
        hosts.stream(Duration.ofSeconds(30), 2);

        assertThat(hosts.mMember.speed("a")).isCloseTo(0.5, within(0.03));
        assertThat(hosts.mMember.member("a").activeCalls()).isEqualTo(1);
        assertThat(reportedStates()).isNotEmpty().allMatch(ServerState::getSpeedOnly);
        hosts.mMember.mEngines.mEngines.get("a").mLoaded.add("m1");
        hosts.mMember.list(2);
        assertThat(hosts.mMember.member("a").modelState().loaded()).containsOnlyKeys("m1");
    }

    /** Guards against more bytes and other choices for deployments that do not measure. */
    @Test
    void nothingIsMeasuredOrSentByDefault() {
        Pair hosts = new Pair(ServerSpeed.EQUAL);
        hosts.stream(Duration.ofSeconds(10), 2);

        assertThat(reportedCalls()).isNotEmpty();
        assertThat(reportedCalls())
                .allMatch(calls -> calls.getGaps() == 0 && calls.getGapSumMicros() == 0)
                .allMatch(calls -> calls.getBornMillis() == 0);
        assertThat(reportedStates()).isNotEmpty();
        assertThat(reportedStates()).allMatch(state -> state.getSpeedPercent() == 0);
        assertThat(hosts.mMember.speed("a")).isEqualTo(1);
    }

    @Test
    void aHostWithoutDigestsAssumesTheSpeedOfOtherServersAfterThreeSeconds() {
        Pair hosts = new Pair(ServerSpeed.MEASURED);
        hosts.stream(Duration.ofSeconds(30), 2);
        hosts.mHolder.mConnected = false;

        mLeases.run(Duration.ofMillis(1900));
        assertThat(hosts.mMember.speed("a")).isLessThan(0.6);
        mLeases.run(Duration.ofMillis(1200));
        assertThat(hosts.mMember.speed("a")).isEqualTo(1);
    }

    /** Guards against the speed of an earlier process for a server that has just started. */
    @Test
    void aServerThatHasJustRestartedHasTheSpeedOfOtherServers() {
        Pair hosts = new Pair(ServerSpeed.MEASURED);
        hosts.stream(Duration.ofSeconds(30), 2);
        hosts.restart("a");

        assertThat(hosts.mMember.speed("a")).isEqualTo(1);
        mLeases.run(Duration.ofSeconds(2));
        assertThat(hosts.mMember.speed("a")).isEqualTo(1);
        assertThat(hosts.mHolder.speed("a")).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 39, 251, Integer.MAX_VALUE})
    void aSpeedThatIsOutOfRangeIsIgnored(int percent) {
        Pair hosts = new Pair(ServerSpeed.MEASURED);
        hosts.mMember.receiveSpeed("a", hosts.born("a"), 50);
        hosts.mMember.receiveSpeed("a", hosts.born("a"), percent);
        hosts.mMember.receiveSpeed("a", hosts.born("a") + 1, 70);

        assertThat(hosts.mMember.speed("a")).isEqualTo(0.5);
    }

    /** Guards against numbers of servers and loads that count calls which have ended. */
    @Test
    void gapsOfEndedCallsAreNoRunningCalls() {
        DemandReport report =
                DemandReport.newBuilder()
                        .addRunning(RunningCalls.newBuilder().setServer("a").setGaps(3))
                        .addRunning(RunningCalls.newBuilder().setServer("b").setCount(1).setGaps(2))
                        .build();

        assertThat(SpeedMessages.NONE.takeGaps(report).getRunningList())
                .extracting(RunningCalls::getServer)
                .containsExactly("b");
    }

    /** Guards against an interrupted stream that makes its server very slow. */
    @Test
    void aGapCountsAsAtMostASecond() {
        Pair hosts = new Pair(ServerSpeed.MEASURED);
        TestHost host = hosts.mMember;
        RequestSlot slot = host.reserve("a");
        EventGaps stream = host.mReporter.newStream(slot);
        stream.recordEvent(0);
        stream.recordEvent(Duration.ofMillis(20).toNanos());
        stream.recordEvent(Duration.ofSeconds(40).toNanos());
        slot.release();

        RunningCalls calls = host.mReporter.takeReport().orElseThrow().getRunning(0);
        assertThat(calls.getGaps()).isEqualTo(2);
        assertThat(calls.getGapSumMicros()).isEqualTo(1_020_000);
        assertThat(calls.getBornMillis()).isEqualTo(hosts.born("a"));
        assertThat(host.mReporter.takeReport()).isEmpty();
    }

    private List<RunningCalls> reportedCalls() {
        return mSent.stream()
                .flatMap(message -> message.getDemandReport().getRunningList().stream())
                .toList();
    }

    private List<ServerState> reportedStates() {
        return mSent.stream()
                .flatMap(message -> message.getFleetDigest().getServersList().stream())
                .toList();
    }

    /** The lease holder, and another host that has all calls. */
    private final class Pair {
        private final TestHost mHolder;
        private final TestHost mMember;

        Pair(ServerSpeed serverSpeed) {
            this(serverSpeed, MODEL);
        }

        Pair(ServerSpeed serverSpeed, Optional<ModelName> model) {
            List<TestHost> hosts =
                    mLeases.hosts().stream()
                            .map(host -> new TestHost(host, serverSpeed, model))
                            .toList();
            mLeases.setHolderReachable(true);
            mLeases.run(Duration.ofSeconds(5));
            mHolder = hosts.get(hosts.get(0).mHost.mLease.held() ? 0 : 1);
            mMember = hosts.get(mHolder == hosts.get(0) ? 1 : 0);
            assertThat(mHolder.mHost.mLease.held()).isTrue();
            mHolder.mPeer = mMember;
            mMember.mPeer = mHolder;
            mLeases.run(Duration.ofSeconds(2));
        }

        /** Lets a call run on each server; the events of server a are slower by the factor. */
        void stream(Duration time, int factor) {
            List<EventGaps> usual =
                    Stream.of("b", "c").map(name -> mMember.newStream(name)).toList();
            EventGaps slow = mMember.newStream("a");
            for (int step = 0; step < time.dividedBy(STEP); step++) {
                mLeases.run(STEP);
                usual.forEach(stream -> stream.recordEvent(mMember.nowNanos()));
                if (step % factor == 0) {
                    slow.recordEvent(mMember.nowNanos());
                }
            }
        }

        long born(String server) {
            return mMember.member(server).registered().startedAtMillis();
        }

        void restart(String server) {
            for (TestHost host : List.of(mHolder, mMember)) {
                host.mEngines.mEngines.get(server).restart();
                host.mEngines.mEngines.get(server).mLoaded.add("m0");
                host.list(2);
            }
        }
    }

    private final class TestHost implements PeerLinks {
        private final LeaseSimulation.TestHost mHost;
        private final Optional<ModelName> mModel;
        private final EngineSimulation mEngines;
        private final FleetDirectory mDirectory;
        private final DemandReporter mReporter;
        private final DaemonMetrics mMetrics =
                new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        private final Map<Envelope.BodyCase, PeerHandler> mHandlers =
                new EnumMap<>(Envelope.BodyCase.class);
        private TestHost mPeer = this;
        private boolean mConnected = true;

        TestHost(
                LeaseSimulation.TestHost host, ServerSpeed serverSpeed, Optional<ModelName> model) {
            mHost = host;
            mModel = model;
            Set<String> loaded = model.map(ModelName::model).map(Set::of).orElse(Set.of());
            mEngines = new EngineSimulation(1, host.mScheduler);
            Stream.of("a", "b", "c").forEach(name -> mEngines.add(name, loaded));
            EngineCollections collections = new EngineCollections(mEngines);
            mDirectory =
                    new FleetDirectory(
                            collections,
                            new DrainFollower(collections, mEngines.mLoop, (event, fields) -> {}),
                            mEngines.mLoop,
                            new StoreAnswerHistory(),
                            (event, fields) -> {});
            list(1);
            WaitingCallQueue waitingCalls = waitingCalls();
            mReporter = new DemandReporter(waitingCalls, mDirectory, mEngines.mLoop);
            LoadController controller =
                    new LoadController(
                            host.mName,
                            host.mLease,
                            mDirectory,
                            Optional::empty,
                            mEngines,
                            4,
                            mEngines.mLoop,
                            mEngines::wallClockTime,
                            (event, fields) -> {});
            FleetExchange exchange =
                    new FleetExchange(
                            host.mName,
                            host.mLease,
                            mDirectory,
                            controller,
                            mReporter,
                            waitingCalls,
                            this,
                            () -> 2,
                            mEngines.mLoop);
            ServerSpeedExchange.connect(
                    new RoutingSettings(serverSpeed),
                    exchange,
                    mReporter,
                    mDirectory,
                    mEngines.mLoop,
                    mMetrics,
                    (event, fields) -> mEvents.add(event));
            exchange.start();
        }

        private WaitingCallQueue waitingCalls() {
            ServerSelector selector =
                    new ServerSelector(
                            mDirectory,
                            Optional::empty,
                            new FailureDomain("d"),
                            () -> 2,
                            PermitSource.NONE,
                            mEngines.mLoop,
                            new Random(1));
            return new WaitingCallQueue(selector, mEngines.mLoop, 100);
        }

        void list(long version) {
            mDirectory.listed(
                    new ObjectList(
                            version,
                            Stream.of("a", "b", "c")
                                    .map(
                                            name ->
                                                    new StoredObject(
                                                            "servers",
                                                            name,
                                                            version,
                                                            JsonNodeFactory.instance.objectNode()))
                                    .toList()));
        }

        FleetMember member(String server) {
            return mDirectory.member(server).orElseThrow();
        }

        double speed(String server) {
            return member(server).speed().speed(nowNanos());
        }

        long nowNanos() {
            return mEngines.mLoop.clock().nowNanos();
        }

        RequestSlot reserve(String server) {
            return member(server).reserveSlot(mModel, 0, 2, nowNanos());
        }

        EventGaps newStream(String server) {
            return mReporter.newStream(reserve(server));
        }

        void receiveSpeed(String server, long born, int percent) {
            receive(
                    Envelope.newBuilder()
                            .setSender(mPeer.mHost.mName)
                            .setFleetDigest(
                                    FleetDigest.newBuilder()
                                            .setTerm(1_000)
                                            .addServers(
                                                    ServerState.newBuilder()
                                                            .setServer(server)
                                                            .setBornMillis(born)
                                                            .setSpeedPercent(percent)))
                            .build());
        }

        void receive(Envelope message) {
            Objects.requireNonNull(mHandlers.get(message.getBodyCase()))
                    .handle(message)
                    .subscribe();
        }

        @Override
        public void send(String host, Envelope.Builder message) {
            if (mPeer != this && mConnected) {
                Envelope sent = message.setSender(mHost.mName).build();
                mSent.add(sent);
                mPeer.receive(sent);
            }
        }

        @Override
        public Mono<Either<PeerFailure, Envelope>> request(
                String host, Envelope.Builder request, Duration timeout) {
            return Mono.never();
        }

        @Override
        public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
            mHandlers.put(bodyCase, handler);
        }

        @Override
        public Set<String> liveHosts() {
            return Set.of(mPeer.mHost.mName);
        }
    }
}
