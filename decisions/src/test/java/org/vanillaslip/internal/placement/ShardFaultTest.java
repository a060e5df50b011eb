package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards the invariants replicas-as-decided and memory-not-overcommitted against each fault at each
 * action of a host, and checks that models can be loaded again after the fault.
 */
class ShardFaultTest {

    // Every third of the first 36 actions, so that all runs together take only seconds.
    private static final int STEPS = 36;
    private static final int STRIDE = 3;

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void keepsReplicasAsDecidedAndMemoryNotOvercommittedUnderEachFaultAtEachStep(FaultKind fault) {
        for (int step = 0; step < STEPS; step += STRIDE) {
            checkRun(fault, step, 1 + step % 2);
        }
    }

    /** Each of these runs fails if one of the rules is removed; see docs/proofs/placement.md. */
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
        checkRun(fault, step, seed);
    }

    static void checkRun(FaultKind fault, int step, long seed) {
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
                    .as("%s: a lost answer causes no change of the lease holder", description)
                    .isEqualTo(1);
        }
        checkRecovery(simulation, description);
    }

    private static void checkRecovery(ShardSimulation simulation, String description) {
        simulation.run(30);
        for (String model : new String[] {"a", "c"}) {
            simulation.requestModel(model);
            simulation.run(15);
            assertThat(simulation.loadedSinceRequest(model))
                    .as(
                            "%s: model %s is loaded at the end, orders %d, record %s",
                            description, model, simulation.mOrderCount, simulation.mStore.record())
                    .isTrue();
        }
        assertThat(simulation.violations()).as(description).isEmpty();
    }
}
