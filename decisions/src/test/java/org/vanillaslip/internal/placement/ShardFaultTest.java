package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards the invariants replicas-as-decided and memory-not-overcommitted against each fault at each
 * action of a host, and against faults after which nothing can be loaded any more.
 */
class ShardFaultTest {

    private static final int STEPS = 30;
    private static final int SEEDS = 2;

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void replicasAsDecidedAndMemoryNotOvercommittedUnderEachFaultAtEachStep(FaultKind fault) {
        for (int step = 0; step < STEPS; step++) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                ShardSimulation simulation = run(fault, step, seed);
                assertThat(simulation.violations())
                        .as("%s at step %d with seed %d", fault, step, seed)
                        .isEmpty();
                recovers(simulation, fault + " at step " + step + " with seed " + seed);
            }
        }
    }

    private static ShardSimulation run(FaultKind fault, int step, long seed) {
        ShardSimulation simulation = new ShardSimulation(fault, step, seed);
        simulation.run(2);
        for (String model : new String[] {"a", "b", "c", "a", "c", "b"}) {
            simulation.want(model);
            simulation.run(8);
        }
        return simulation;
    }

    private static void recovers(ShardSimulation simulation, String description) {
        simulation.run(40);
        for (String model : new String[] {"a", "c"}) {
            simulation.want(model);
            simulation.run(15);
            assertThat(simulation.loadedSinceWanted(model))
                    .as(
                            "%s: model %s is loaded in the end, orders %d, record %s",
                            description, model, simulation.mOrders, simulation.mStore.record())
                    .isTrue();
        }
        assertThat(simulation.violations()).as(description).isEmpty();
    }
}
