package org.vanillaslip.internal.proofs.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the comparison of ways to spread news: what it counts, and when it ends. */
class SpreadingRunTest {

    private static final long SEED = 1;

    @Test
    void aMeshNeedsOneRoundAndAMessageToEachOtherHost() {
        SpreadingRun run = run(30, Spreading.mesh(), List.of());

        assertThat(run.rounds()).isEqualTo(1);
        assertThat(run.meanMessages()).isEqualTo(29);
    }

    @Test
    void relaysReachAllInThreeRounds() {
        SpreadingRun run = run(100, Spreading.relays(), List.of());

        assertThat(run.complete()).isTrue();
        assertThat(run.rounds()).isEqualTo(3);
    }

    /** Guards against a way that looks complete because lost hosts pass news on. */
    @Test
    void theLossOfBothRelaysOfADomainIsOnlyMadeUpForOnceItIsNoticed() {
        SpreadingRun run = run(100, Spreading.relays(), List.of(0, 5));

        assertThat(run.complete()).isTrue();
        assertThat(run.rounds()).isGreaterThan(SpreadingRun.NOTICE_ROUNDS);
    }

    private static SpreadingRun run(int hosts, Spreading way, List<Integer> killed) {
        return new SpreadingRun(new Fleet(hosts, 5), way, 0, killed, true, SEED).play();
    }
}
