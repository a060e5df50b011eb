package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.LogEvent;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Mono;

/** Guards against calls to a server that has asked for a pause, and pauses that do not end. */
class AskedPauseTest {

    private static final CallTarget TARGET = new CallTarget("pool", Optional.empty());

    private final RelaySimulation mWorld = new RelaySimulation(1, 1, 1);
    private final SimulatedHost mHost = mWorld.hosts().get(0);
    private final PlainServers mCollections = new PlainServers();
    private final List<LogEvent> mEvents = new ArrayList<>();
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final FleetDirectory mDirectory =
            new FleetDirectory(
                    mCollections,
                    new DrainFollower(mCollections, mWorld.loop(), (event, fields) -> {}),
                    mWorld.loop(),
                    new StoreAnswerHistory(),
                    (event, fields) -> mEvents.add(event));
    private final ServerLimitExchange mExchange =
            new ServerLimitExchange(
                    mDirectory,
                    mHost.network(),
                    mHost.relayedLinks(),
                    mWorld.loop(),
                    new DaemonMetrics(mRegistry),
                    (event, fields) -> mEvents.add(event));
    private final WaitingCallQueue mQueue =
            new WaitingCallQueue(
                    new ServerSelector(
                            mDirectory,
                            Optional::empty,
                            mHost.domain(),
                            () -> 1,
                            mExchange.permits(),
                            mWorld.loop(),
                            new Random(1)),
                    mWorld.loop(),
                    100);
    private final ListeningEngines mEngines = new ListeningEngines();
    private final List<String> mOutcomes = new ArrayList<>();

    /** Engines of which only what they say of themselves matters. */
    private static final class ListeningEngines implements EngineControl {

        private EngineNoticeListener mListener = (server, notice, sinceSent) -> {};

        @Override
        public void onNotice(EngineNoticeListener listener) {
            mListener = listener;
        }

        @Override
        public Mono<OrderAnswer> sendOrder(
                RegisteredServer server, EngineOrder order, BooleanSupplier permitted) {
            return Mono.just(OrderAnswer.REFUSED);
        }

        @Override
        public Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server) {
            return Mono.just(Either.left("The server has no model engine."));
        }
    }

    @BeforeEach
    void listTheServers() {
        mDirectory.onChange(mQueue::dispatch);
        mExchange.start(mEngines);
        list(1, 1, "s1", "s2");
    }

    @Test
    void aServerGetsNoCallUntilItsPauseEnds() {
        pause("s1", 500);
        mWorld.advanceTime(Duration.ofMillis(499));
        submitTenCalls();
        assertThat(mOutcomes).containsOnly("s2").hasSize(10);
        mWorld.advanceTime(Duration.ofMillis(1));
        submitTenCalls();

        assertThat(mOutcomes).contains("s1");
    }

    /** Guards against calls that wait for an answer that need not come. */
    @Test
    void callsThatWaitAreSentWithinATurnOfTheEnd() {
        pause("s1", 500);
        pause("s2", 900);
        submit("a", false);
        mWorld.advanceTime(Duration.ofMillis(499));
        assertThat(mOutcomes).isEmpty();
        mWorld.advanceTime(Duration.ofMillis(26));

        assertThat(mOutcomes).containsExactly("s1");
    }

    @Test
    void aCallThatEndsBeforeAllPausesIsRefusedAtOnce() {
        pause("s1", 7000);
        pause("s2", 6000);
        submit("a", false);

        assertThat(mOutcomes).containsExactly("a refused, retry after 6000 ms");
    }

    @Test
    void waitingCallsAreRefusedWithinATurnWhenTheLastServerPausesForLonger() {
        pause("s1", 1000);
        pause("s2", 1000);
        submit("a", false);
        pause("s1", 9000);
        pause("s2", 8000);
        mWorld.advanceTime(Duration.ofMillis(25));

        assertThat(mOutcomes).containsExactly("a refused, retry after 7975 ms");
    }

    @Test
    void callsWaitWhileAServerWithoutAPauseIsFull() {
        pause("s1", 7000);
        server("s2").recordFull(now());
        submit("a", false);
        mWorld.advanceTime(Duration.ofMillis(100));

        assertThat(mOutcomes).containsExactly("s2");
    }

    @Test
    void aPauseIsNeitherAFailureNorASuccess() {
        pause("s1", 500);

        assertThat(server("s1").inService()).isTrue();
        assertThat(server("s1").health().failing()).isFalse();
        assertThat(server("s1").health().usable(now())).isTrue();
        assertThat(server("s1").health().succeededSince(0)).isFalse();
    }

    @Test
    void aLaterAnswerReplacesThePauseOnlyIfItEndsLater() {
        pause("s1", 500);
        pause("s1", 100);
        assertThat(remainingMillis("s1")).isEqualTo(500);
        mWorld.advanceTime(Duration.ofMillis(300));
        pause("s1", 400);

        assertThat(remainingMillis("s1")).isEqualTo(400);
    }

    @Test
    void aLaterAnswerReplacesThePauseAfterASuccess() {
        pause("s1", 500);
        mWorld.advanceTime(Duration.ofMillis(10));
        server("s1").health().recordSuccess(now());
        assertThat(remainingMillis("s1")).isEqualTo(490);
        pause("s1", 100);

        assertThat(remainingMillis("s1")).isEqualTo(100);
    }

    @Test
    void aPauseBelongsToOneStart() {
        FleetMember earlier = server("s1");
        pause("s1", 500);
        list(2, 1, "s1", "s2");
        assertThat(remainingMillis("s1")).isEqualTo(500);
        list(3, 2, "s1", "s2");
        mExchange.notices().record(earlier, pauseOf(900), now());

        assertThat(remainingMillis("s1")).isZero();
    }

    @Test
    void aBoundlessPauseIsBounded() {
        mExchange
                .notices()
                .record(
                        server("s1"),
                        ServerNotice.NO_LIMIT.withPause(Duration.ofSeconds(Long.MAX_VALUE)),
                        now());

        assertThat(server("s1").pause().remaining(now())).isEqualTo(ServerPause.LONGEST);
    }

    @Test
    void anAnswerToAnOrderOrAReportCounts() {
        mEngines.mListener.handle(server("s1").registered(), pauseOf(500), Duration.ZERO);
        mWorld.advanceTime(Duration.ofMillis(1));

        assertThat(server("s1").canAcceptCall(now())).isFalse();
    }

    @Test
    void aPauseThatIsInForceIsLoggedAndCountedOnce() {
        pause("s1", 500);
        pause("s1", 200);

        assertThat(mEvents).containsOnlyOnce(FleetEvent.PAUSE_ASKED);
        assertThat(mRegistry.scrape())
                .contains("vanillaslip_server_pauses_total{source=\"answer\"} 1.0");
    }

    private void pause(String server, long millis) {
        mExchange.notices().record(server(server), pauseOf(millis), now());
    }

    private static ServerNotice pauseOf(long millis) {
        return ServerNotice.NO_LIMIT.withPause(Duration.ofMillis(millis));
    }

    private long remainingMillis(String server) {
        return server(server).pause().remaining(now()).toMillis();
    }

    private void submitTenCalls() {
        for (int call = 0; call < 10; call++) {
            submit("c" + call, false);
        }
    }

    private void submit(String call, boolean answerBegun) {
        long deadline = now() + Duration.ofSeconds(5).toNanos();
        mQueue.awaitSlot(
                        new ServerRequest(
                                call, TARGET, List.of(), List.of(), Optional.empty(), Set.of()),
                        new WaitBounds(1, deadline, deadline, answerBegun))
                .subscribe(
                        slot -> mOutcomes.add(slot.server().instance()),
                        error -> mOutcomes.add(call + " refused, " + retryAfter(error)));
    }

    private static String retryAfter(Throwable error) {
        Duration retryAfter =
                ((RefusedException) error).refusal().retryAfter().orElse(Duration.ZERO);
        return "retry after " + retryAfter.toMillis() + " ms";
    }

    private FleetMember server(String name) {
        return mDirectory.member(name).orElseThrow();
    }

    private void list(long version, long startedAtMillis, String... names) {
        mCollections.setStartedAtMillis(startedAtMillis);
        mDirectory.listed(
                new ObjectList(
                        version, Arrays.stream(names).map(name -> object(name, version)).toList()));
    }

    private static StoredObject object(String name, long version) {
        return new StoredObject("servers", name, version, JsonNodeFactory.instance.objectNode());
    }

    private long now() {
        return mWorld.loop().clock().nowNanos();
    }
}
