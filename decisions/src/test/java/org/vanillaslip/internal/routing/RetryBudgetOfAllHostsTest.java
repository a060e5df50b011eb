package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries that exceed the budget of all hosts while hosts come and go. */
class RetryBudgetOfAllHostsTest {

    private static final double[] REQUESTS_PER_SECOND = {20, 80, 400};
    private static final long END_MILLIS = 110_000;
    private static final long FIRST_EVENT_MILLIS = 40_000;
    private static final long FIRST_SLOW_MILLIS = 32_000;

    /** Schedules disruptions at an interval. */
    @FunctionalInterface
    private interface Disruptions {
        void schedule(RetryFleetSimulation simulation, long intervalMillis);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void holdsWithoutDisruptions(int hosts) {
        assertHolds(hosts, (simulation, interval) -> {});
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void holdsWhileHostsAreRestartedInSeries(int hosts) {
        assertHolds(
                hosts,
                (simulation, interval) -> {
                    for (int index = 0; index < 24; index++) {
                        String host = RetryFleetSimulation.name(index % hosts);
                        simulation.at(
                                FIRST_EVENT_MILLIS + index * interval,
                                () -> simulation.restart(host, 5000, 1500));
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void holdsWhileHostsAreKilledInSeries(int hosts) {
        assertHolds(
                hosts,
                (simulation, interval) -> {
                    for (int index = 0; index < 24; index++) {
                        String host = RetryFleetSimulation.name(index % hosts);
                        long time = FIRST_EVENT_MILLIS + index * interval;
                        simulation.at(time, () -> simulation.kill(host));
                        simulation.at(time + 1200, () -> simulation.start(host));
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void holdsWhileHostsAreCutOffAndRemovedFromTheList(int hosts) {
        assertHolds(
                hosts,
                (simulation, interval) -> {
                    for (int index = 0; index < hosts / 4; index++) {
                        String host = RetryFleetSimulation.name(index);
                        simulation.at(
                                FIRST_EVENT_MILLIS, () -> simulation.cutOff(host, 20 * interval));
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void holdsWhileHostsAreAddedAndOneIsCutOff(int hosts) {
        assertHolds(
                hosts,
                (simulation, interval) -> {
                    simulation.at(
                            FIRST_EVENT_MILLIS,
                            () -> simulation.cutOff(RetryFleetSimulation.name(0), 50_000));
                    for (int index = 0; index < hosts / 2; index++) {
                        String host = RetryFleetSimulation.name(hosts + index);
                        simulation.at(
                                FIRST_EVENT_MILLIS + index * interval,
                                () -> simulation.start(host));
                    }
                });
    }

    @Test
    void aSteadyFleetMaySendMostOfWhatTheBudgetAllows() {
        RetryFleetSimulation simulation = simulation(8, 80, 1);
        simulation.at(FIRST_SLOW_MILLIS, () -> simulation.setSlow(true));
        simulation.run(60_000);

        double allowed = RetryFleetSimulation.RATIO * 800 + RetryFleetSimulation.EXTRA;
        assertThat(simulation.retriesBetween(45_000, 55_000))
                .isBetween((long) (allowed * 0.7), (long) allowed);
    }

    /** Guards against hosts that cannot retry at all in their first seconds. */
    @Test
    void hostsThatHaveJustStartedRetryPartOfTheirRequests() {
        RetryFleetSimulation simulation = simulation(8, 80, 1);
        simulation.setSlow(true);
        simulation.run(5000);

        assertThat(simulation.retriesBetween(0, 5000)).isBetween(10L, 40L);
    }

    /** Runs seeds with 20, 80 and 400 requests per second and intervals of 1 to 4 s. */
    private static void assertHolds(int hosts, Disruptions disruptions) {
        for (int seed = 0; seed < (hosts > 8 ? 3 : 12); seed++) {
            double requestsPerSecond = REQUESTS_PER_SECOND[seed % REQUESTS_PER_SECOND.length];
            RetryFleetSimulation simulation = simulation(hosts, requestsPerSecond, seed);
            disruptions.schedule(simulation, 1000 + 1000L * (seed % 4));
            long slowFrom = FIRST_SLOW_MILLIS + 1700L * seed;
            for (long time = slowFrom; time < END_MILLIS; time += 35_000) {
                simulation.at(time, () -> simulation.setSlow(true));
                simulation.at(time + 22_000, () -> simulation.setSlow(false));
            }
            simulation.run(END_MILLIS);

            assertThat(simulation.worstExcess())
                    .as("%d hosts, %.0f requests/s, seed %d", hosts, requestsPerSecond, seed)
                    .isLessThanOrEqualTo(0);
        }
    }

    private static RetryFleetSimulation simulation(int hosts, double requestsPerSecond, long seed) {
        return new RetryFleetSimulation(
                hosts,
                requestsPerSecond,
                share ->
                        new RetryBudget(
                                new FleetRetryAllowance(RetryFleetSimulation.RATIO, share),
                                RetryFleetSimulation.WINDOW),
                seed);
    }
}
