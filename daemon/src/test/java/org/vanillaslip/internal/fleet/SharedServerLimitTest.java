package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/** Guards against hosts that each keep to the limit of a server while their sum exceeds it. */
class SharedServerLimitTest {

    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final double CALLS_PER_SECOND = 27;

    @ParameterizedTest
    @CsvSource({"2, 1, 1.6", "2, 2, 2.2", "8, 4, 1.6", "8, 4, 2.2", "100, 5, 1.6", "100, 5, 20"})
    void allHostsTogetherKeepTheLimitAndUseIt(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        int before = simulation.arrivals();
        simulation.run(Duration.ofSeconds(30), CALLS_PER_SECOND);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
        assertThat(simulation.arrivals() - before).isGreaterThan((int) (0.6 * limit * 30));
    }

    /** Guards against shares that hosts without calls keep from the one that needs them. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6"})
    void aSingleHostWithCallsGetsMostOfTheLimit(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), 10, 1);
        int before = simulation.arrivals();
        simulation.run(Duration.ofSeconds(30), 10, 1);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
        assertThat(simulation.arrivals() - before).isGreaterThan((int) (0.6 * limit * 30));
    }

    /** Guards against a host that learns of a limit only from its own calls. */
    @Test
    void allHostsKnowTheLimitWithinASecondOfTheFirstAnswer() {
        LimitedServerSimulation simulation = start(100, 5, 1.6);
        simulation.run(Duration.ofSeconds(1), 10, 1);

        assertThat(simulation.isLimitedOnAllHosts()).isTrue();
    }

    /** Guards against hosts that start with a share as if they were alone. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6"})
    void hostsThatRestartInSeriesKeepTheLimit(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        for (SimulatedHost host : List.copyOf(simulation.world().hosts())) {
            if (simulation.world().hosts().indexOf(host) % Math.max(1, hosts / 8) == 0) {
                simulation.world().crash(host);
                simulation.run(Duration.ofSeconds(2), CALLS_PER_SECOND);
                simulation.restart(host);
                simulation.run(Duration.ofSeconds(2), CALLS_PER_SECOND);
            }
        }

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
    }

    @Test
    void hostsThatJoinKeepTheLimit() {
        LimitedServerSimulation simulation = start(4, 2, 2.2);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        for (int host = 0; host < 8; host++) {
            simulation.addHost("n" + host, "d" + host % 2);
            simulation.run(Duration.ofSeconds(2), CALLS_PER_SECOND);
        }

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(2.2));
    }

    /** Guards against two sides of a cut that both use the whole limit. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6", "8, 4, 20"})
    void bothSidesOfACutKeepTheLimitTogether(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), 3 * CALLS_PER_SECOND);
        simulation
                .world()
                .setReachability(
                        (one, other) ->
                                one.domain().name().equals("d0")
                                        == other.domain().name().equals("d0"));
        simulation.run(Duration.ofSeconds(20), 3 * CALLS_PER_SECOND);
        simulation.world().setReachability((one, other) -> true);
        simulation.run(Duration.ofSeconds(20), 3 * CALLS_PER_SECOND);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
    }

    /** Guards against a host without any other that takes the limit for its own. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6"})
    void hostsThatAreCutOffOneByOneKeepTheLimit(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        simulation.world().setReachability((one, other) -> false);
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);
        simulation.world().setReachability((one, other) -> true);
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
    }

    /** Guards against the sends of two schedules when their holder changes. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6", "100, 5, 20"})
    void relaysThatFailOneAfterTheOtherKeepTheLimit(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        for (int failure = 0; failure < 4; failure++) {
            simulation.world().crash(simulation.world().relays().get(failure % 2));
            simulation.run(Duration.ofSeconds(6), CALLS_PER_SECOND);
        }

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
        int before = simulation.arrivals();
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);
        assertThat(simulation.arrivals()).isGreaterThan(before);
    }

    /** Guards against a schedule that starts anew with each request for a server not yet listed. */
    @ParameterizedTest
    @CsvSource({"100, 5, 20, true", "100, 5, 20, false"})
    void relaysThatDoNotListTheServerYetKeepTheLimit(
            int hosts, int domains, double limit, boolean listed) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.mMaxWait = Duration.ofSeconds(3);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        if (!listed) {
            simulation.world().relays().forEach(simulation::removeFromList);
        }
        int before = simulation.arrivals();
        simulation.run(Duration.ofSeconds(20), 4 * CALLS_PER_SECOND);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
        assertThat(simulation.arrivals()).isGreaterThan(before);
    }

    /** Guards against calls that wait for a relay whose links are open and silent. */
    @ParameterizedTest
    @CsvSource({"8, 4, 2.2", "100, 5, 1.6"})
    void theLimitIsUsedAgainAfterItsRelaysFellSilent(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(5), CALLS_PER_SECOND);
        List.copyOf(simulation.world().relays()).stream()
                .limit(2)
                .forEach(relay -> simulation.world().suspend(relay));
        simulation.run(Duration.ofSeconds(10), CALLS_PER_SECOND);
        int before = simulation.arrivals();
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);

        assertThat(simulation.largestWindow()).isLessThanOrEqualTo(maxWindow(limit));
        assertThat(simulation.arrivals() - before).isGreaterThan((int) (0.5 * limit * 20));
    }

    /** Guards against a server that stays limited for good because nobody asks it. */
    @ParameterizedTest
    @CsvSource({"8, 4, 0", "100, 5, 1.6"})
    void aLimitEndsOnAllHostsWhenAnswersNoLongerNameIt(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = start(hosts, domains, limit);
        simulation.run(Duration.ofSeconds(10), CALLS_PER_SECOND);
        simulation.endLimit();
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);

        assertThat(simulation.isLimitedOnAnyHost()).isFalse();
    }

    /** Guards against callers that are held until their time is over and then refused. */
    @Test
    void callsBeyondTheLimitAreRefused() {
        LimitedServerSimulation simulation = start(8, 4, 2.2);
        simulation.run(Duration.ofSeconds(20), CALLS_PER_SECOND);

        assertThat(simulation.refused()).isGreaterThan(300);
    }

    private static LimitedServerSimulation start(int hosts, int domains, double limit) {
        LimitedServerSimulation simulation = new LimitedServerSimulation(hosts, domains);
        simulation.run(WARM_UP, CALLS_PER_SECOND);
        simulation.setLimit(limit);
        return simulation;
    }

    private static int maxWindow(double limit) {
        return (int) (1.5 * limit * 4 + 5);
    }
}
