package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards drain-server and drain-failure-domain: no load starts later than a few seconds after the
 * drain.
 */
class ShardDrainTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void drainServerStopsNewLoadsAndEmptiesTheServer(long seed) {
        ShardSimulation simulation = simulateDrain(seed, true, false);
        assertThat(simulation.mLoadOrders)
                .as("drain-server with seed %d", seed)
                .noneMatch(order -> order.server().equals("fenced"));
        assertThat(simulation.mServers.get(0).models()).isEmpty();
        assertThat(simulation.mLoadOrders).as("the other server stays in use").isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void drainFailureDomainStopsNewLoadsAndEmptiesAllServers(long seed) {
        ShardSimulation simulation = simulateDrain(seed, false, true);
        assertThat(simulation.mLoadOrders).as("drain-failure-domain with seed %d", seed).isEmpty();
        assertThat(simulation.loadedModels()).isEmpty();
    }

    private static ShardSimulation simulateDrain(long seed, boolean server, boolean domain) {
        ShardSimulation simulation = new ShardSimulation(FaultKind.NONE, 0, seed);
        simulation.run(5);
        simulation.requestModel("a");
        simulation.requestModel("c");
        simulation.run(5);
        assertThat(simulation.loadedModels())
                .as("both models are loaded before the drain")
                .hasSize(2);
        simulation.configure(ShardFixture.configuration(2, server, domain));
        simulation.run(5);
        simulation.mLoadOrders.clear();
        for (String model : new String[] {"a", "b", "c"}) {
            simulation.requestModel(model);
            simulation.run(9);
        }
        return simulation;
    }
}
