package org.vanillaslip.internal.proofs.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the message and round counts of a dissemination run, and when the run ends. */
class DisseminationRunTest {

    private static final long SEED = 1;

    @Test
    void aMeshNeedsOneRoundAndOneMessageToEachOtherHost() {
        DisseminationRun run = run(30, DisseminationStrategy.mesh(), List.of());

        assertThat(run.rounds()).isEqualTo(1);
        assertThat(run.meanMessages()).isEqualTo(29);
    }

    @Test
    void relaysReachAllHostsInThreeRounds() {
        DisseminationRun run = run(100, DisseminationStrategy.relays(), List.of());

        assertThat(run.isComplete()).isTrue();
        assertThat(run.rounds()).isEqualTo(3);
    }

    /** Guards against a run that completes early because stopped hosts forward items. */
    @Test
    void theLossOfBothRelaysOfADomainDelaysCompletionUntilItIsDetected() {
        DisseminationRun run = run(100, DisseminationStrategy.relays(), List.of(0, 5));

        assertThat(run.isComplete()).isTrue();
        assertThat(run.rounds()).isGreaterThan(DisseminationRun.FAILURE_DETECTION_ROUNDS);
    }

    private static DisseminationRun run(
            int hosts, DisseminationStrategy strategy, List<Integer> stoppedHosts) {
        return new DisseminationRun(new Fleet(hosts, 5), strategy, 0, stoppedHosts, true, SEED)
                .run();
    }
}
