package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards the invariants replicas-as-decided and memory-not-overcommitted against each fault at each
 * action of a host, and against faults after which nothing can be loaded any more.
 */
class ShardFaultTest {

    // Every third action of the first 36, since the runs have to take only seconds together.
    private static final int STEPS = 36;
    private static final int STRIDE = 3;

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void keepsReplicasAsDecidedAndMemoryNotOvercommittedUnderEachFaultAtEachStep(FaultKind fault) {
        for (int step = 0; step < STEPS; step += STRIDE) {
            check(fault, step, 1 + step % 2);
        }
    }

    /** Each of these runs fails while one rule is broken; see docs/proofs/placement.md. */
    @ParameterizedTest
    @CsvSource({
        "OUTAGE_AND_RESTARTS, 26, 1",
        "OTHER_PARTITIONED_AND_SERVERS_RESTARTED, 13, 3",
        "OTHER_PARTITIONED_AND_SERVERS_RESTARTED, 17, 3",
        "READ_LATE_PARTITIONED_AND_SERVERS_RESTARTED, 22, 1",
        "HAND_OVER_TWICE, 15, 2",
        "KILL, 10, 1"
    })
    void keepsTheInvariantsInRunsThatFailWithoutOneOfTheRules(
            FaultKind fault, int step, long seed) {
        check(fault, step, seed);
    }

    static void check(FaultKind fault, int step, long seed) {
        String description = fault + " at step " + step + " with seed " + seed;
        ShardSimulation simulation = new ShardSimulation(fault, step, seed);
        simulation.run(2);
        for (String model :
                new String[] {"a", "d", "b", "c", "a", "d", "c", "b", "a", "c", "d", "b"}) {
            simulation.requestModel(model);
            simulation.run(6);
        }
        assertThat(simulation.violations()).as(description).isEmpty();
        if (fault == FaultKind.ANSWER_LOST) {
            assertThat(simulation.mStore.record().lease().term())
                    .as("%s: a lost answer costs no hand-over", description)
                    .isEqualTo(1);
        }
        recovers(simulation, description);
    }

    private static void recovers(ShardSimulation simulation, String description) {
        simulation.run(30);
        for (String model : new String[] {"a", "c"}) {
            simulation.requestModel(model);
            simulation.run(15);
            assertThat(simulation.loadedSinceRequest(model))
                    .as(
                            "%s: model %s is loaded in the end, orders %d, record %s",
                            description, model, simulation.mOrderCount, simulation.mStore.record())
                    .isTrue();
        }
        assertThat(simulation.violations()).as(description).isEmpty();
    }
}
