package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.FakePeerNetwork;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against limits of servers that callers pay for, or that outlive their server. */
class LimitedCallsTest {

    private static final CallTarget TARGET = new CallTarget("pool", Optional.empty());
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final PlainServers mCollections = new PlainServers();
    private final FleetDirectory mDirectory =
            new FleetDirectory(
                    mCollections,
                    new DrainFollower(mCollections, mLoop, (event, fields) -> {}),
                    mLoop,
                    new StoreAnswerHistory(),
                    (event, fields) -> {});
    private final ServerLimits mLimits =
            new ServerLimits(
                    mDirectory,
                    new FakePeerNetwork(1).addHost("h1"),
                    mLoop,
                    new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT)),
                    (event, fields) -> {});
    private final List<String> mRequestedPermits = new ArrayList<>();
    private final WaitingCallQueue mQueue =
            new WaitingCallQueue(
                    new ServerSelector(
                            mDirectory,
                            Optional::empty,
                            new FailureDomain("d0"),
                            () -> 1,
                            (server, calls, deadline) -> mRequestedPermits.add(server.instance()),
                            mLoop,
                            new Random(1)),
                    mLoop,
                    100);
    private final List<String> mOutcomes = new ArrayList<>();

    @BeforeEach
    void listTheServers() {
        list(1, 1);
    }

    @Test
    void aServerWithoutALimitComesFirst() {
        name("s1", 2);
        server("s1").permits().recordGrant(0);

        for (int call = 0; call < 10; call++) {
            submit("c" + call, 1, 5);
        }

        assertThat(mOutcomes).containsOnly("s2").hasSize(10);
        assertThat(mRequestedPermits).isEmpty();
    }

    @Test
    void aServerWithALimitGetsACallForEachPermit() {
        name("s1", 2);
        name("s2", 2);
        server("s1").permits().recordGrant(0);

        submit("a", 1, 5);
        submit("b", 1, 5);

        assertThat(mOutcomes).containsExactly("s1");
        assertThat(mRequestedPermits).contains("s1", "s2");
    }

    /** A server that gets no calls cannot say that its limit is over. */
    @Test
    void aServerWhoseLimitIsNotConfirmedIsAskedThoughOthersHaveRoom() {
        name("s1", 2);
        mScheduler.advanceTimeBy(Duration.ofSeconds(5));

        submit("a", 1, 5);
        server("s1").permits().recordGrant(5 * SECOND);
        submit("b", 1, 5);

        assertThat(mOutcomes).containsExactly("s2", "s1");
        assertThat(mRequestedPermits).contains("s1");
    }

    @Test
    void callsThatTheLimitsCannotServeInTimeAreRefusedByPriority() {
        name("s1", 1);
        name("s2", 1);
        submit("late", 5, 1);
        submit("first", 0, 1);
        submit("patient", 9, 10);
        server("s1").permits().recordRefusal(SECOND * 7 / 10, SECOND, 0);
        server("s2").permits().recordRefusal(SECOND * 7 / 10, SECOND, 0);
        mScheduler.advanceTimeBy(Duration.ofMillis(30));

        // The second call could be sent half a second after the first, at the rate of both servers.
        assertThat(mOutcomes).containsExactly("late refused, retry after 1175 ms");
    }

    @Test
    void aNewStartAtTheAddressBeginsWithoutTheLimit() {
        name("s1", 0);
        list(2, 2);

        assertThat(server("s1").limit().isLimited()).isFalse();
        mLimits.apply(new LimitNews("s1", 1, OptionalDouble.of(0), 0), "h2");
        assertThat(server("s1").limit().isLimited()).isFalse();
        mLimits.apply(new LimitNews("s1", 2, OptionalDouble.of(3), 0), "h2");
        assertThat(server("s1").limit().requestsPerSecond()).hasValue(3);
    }

    @Test
    void anotherRegistrationOfTheSameStartKeepsTheLimit() {
        name("s1", 2);
        list(2, 1);

        assertThat(server("s1").limit().requestsPerSecond()).hasValue(2);
    }

    @Test
    void aLimitIsNoFailureOfTheServer() {
        name("s1", 0);
        name("s2", 0);

        assertThat(server("s1").health().failing()).isFalse();
        assertThat(server("s1").inService()).isTrue();
    }

    @Test
    void anUnreadableLimitLeavesTheLastOneInForce() {
        name("s1", 2);
        mScheduler.advanceTimeBy(Duration.ofSeconds(1));
        mLimits.record(server("s1"), ServerNotice.UNREADABLE_LIMIT, SECOND);

        assertThat(server("s1").limit().requestsPerSecond()).hasValue(2);
    }

    private void name(String server, double limit) {
        mLimits.record(server(server), ServerNotice.limit(limit), mLoop.clock().nowNanos());
    }

    private FleetMember server(String name) {
        return mDirectory.member(name).orElseThrow();
    }

    private void list(long version, long startedAtMillis) {
        mCollections.setStartedAtMillis(startedAtMillis);
        mDirectory.listed(
                new ObjectList(version, List.of(object("s1", version), object("s2", version))));
    }

    private static StoredObject object(String name, long version) {
        return new StoredObject("servers", name, version, JsonNodeFactory.instance.objectNode());
    }

    private void submit(String call, int priority, int seconds) {
        long deadline = mLoop.clock().nowNanos() + seconds * SECOND;
        mQueue.awaitSlot(
                        new ServerRequest(
                                call, TARGET, List.of(), List.of(), Optional.empty(), Set.of()),
                        new WaitBounds(priority, deadline, deadline, false))
                .subscribe(
                        slot -> mOutcomes.add(slot.server().instance()),
                        error -> mOutcomes.add(call + " refused, " + retryAfter(error)));
    }

    private static String retryAfter(Throwable error) {
        Duration retryAfter =
                ((RefusedException) error).refusal().retryAfter().orElse(Duration.ZERO);
        return "retry after " + retryAfter.toMillis() + " ms";
    }
}
