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

/** Guards against calls to a server that has said in an answer that it leaves. */
class LeavingNoticeTest {

    private static final CallTarget TARGET = new CallTarget("pool", Optional.empty());
    private static final ServerNotice LEAVING = ServerNotice.NO_LIMIT.asLeaving();

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
    void aServerThatSaysItLeavesGetsNoCall() {
        say("s1", LEAVING);
        submitTenCalls();

        assertThat(mOutcomes).containsOnly("s2").hasSize(10);
    }

    @Test
    void aWaitingCallGoesToAnotherServer() {
        server("s1").recordFull(now());
        server("s2").recordFull(now());
        submitTenCalls();
        say("s1", LEAVING);
        mWorld.advanceTime(Duration.ofMillis(200));

        assertThat(mOutcomes).containsOnly("s2").hasSize(10);
    }

    @Test
    void anAnswerWithoutTheNewsTakesNothingBack() {
        say("s1", LEAVING);
        say("s1", ServerNotice.NO_LIMIT);

        assertThat(server("s1").inService()).isFalse();
    }

    @Test
    void theNewsCountsBesideAnUnreadableLimit() {
        say("s1", ServerNotice.UNREADABLE_LIMIT.asLeaving());

        assertThat(server("s1").inService()).isFalse();
    }

    @Test
    void theStoresEntryDoesNotBringTheServerBack() {
        say("s1", LEAVING);
        for (int version = 2; version < 60; version++) {
            list(version, 1, "s1", "s2");
            mWorld.advanceTime(Duration.ofMillis(1200));
        }

        assertThat(server("s1").inService()).isFalse();
    }

    /** Guards against a server that returns with the store, or with a relay's older news. */
    @Test
    void aRemovedEntryThatIsListedAgainDoesNotBringTheServerBack() {
        say("s1", LEAVING);
        list(2, 1, "s2");
        list(3, 1, "s1", "s2");

        assertThat(server("s1").inService()).isFalse();
    }

    @Test
    void anOlderListDoesNotBringTheServerBack() {
        list(9, 1, "s1", "s2");
        say("s1", LEAVING);
        list(5, 1, "s1", "s2");

        assertThat(server("s1").inService()).isFalse();
    }

    /** A host that has been frozen, or without its store, gets no further news. */
    @Test
    void theNewsHoldsWithoutTheStore() {
        say("s1", LEAVING);
        mWorld.advanceTime(Duration.ofMinutes(10));

        assertThat(server("s1").inService()).isFalse();
    }

    @Test
    void aNewStartIsUsed() {
        say("s1", LEAVING);
        list(2, 2, "s1", "s2");

        assertThat(server("s1").inService()).isTrue();
    }

    @Test
    void aLateAnswerOfAnEarlierStartDoesNotCountForTheNewOne() {
        FleetMember earlier = server("s1");
        list(2, 2, "s1", "s2");
        mExchange.notices().record(earlier, LEAVING, now());
        tellEngineNotice(earlier.registered());

        assertThat(server("s1").inService()).isTrue();
    }

    @Test
    void anAnswerToAnOrderOrAReportCounts() {
        tellEngineNotice(server("s1").registered());

        assertThat(server("s1").inService()).isFalse();
        assertThat(server("s2").inService()).isTrue();
    }

    @Test
    void callsAreRefusedAtOnceWhenAllServersLeave() {
        say("s1", LEAVING);
        say("s2", LEAVING);
        submit("a", false);

        assertThat(mOutcomes).containsExactly("a refused, retry after 1200 ms");
    }

    @Test
    void waitingCallsAreRefusedWithinATurnWhenAllServersLeave() {
        server("s1").recordFull(now());
        server("s2").recordFull(now());
        submit("a", false);
        say("s1", LEAVING);
        say("s2", LEAVING);
        mWorld.advanceTime(Duration.ofMillis(25));

        assertThat(mOutcomes).containsExactly("a refused, retry after 1200 ms");
    }

    /** Guards against a stream that is given up although a new server would have resumed it. */
    @Test
    void aCallWhoseAnswerHasBegunWaitsForANewServerWhenAllLeave() {
        say("s1", LEAVING);
        say("s2", LEAVING);
        submit("a", true);
        mWorld.advanceTime(Duration.ofMillis(500));
        assertThat(mOutcomes).isEmpty();
        list(2, 2, "s1");

        assertThat(mOutcomes).containsExactly("s1");
    }

    @Test
    void theNewsIsLoggedAndCountedOnce() {
        say("s1", LEAVING);
        say("s1", LEAVING);

        assertThat(mEvents).containsOnlyOnce(FleetEvent.LEAVING_SAID);
        assertThat(mRegistry.scrape())
                .contains("vanillaslip_servers_leaving_total{source=\"answer\"} 1.0");
    }

    private void say(String server, ServerNotice notice) {
        mExchange.notices().record(server(server), notice, now());
    }

    private void tellEngineNotice(RegisteredServer server) {
        mEngines.mListener.handle(server, LEAVING, Duration.ZERO);
        mWorld.advanceTime(Duration.ofMillis(1));
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
