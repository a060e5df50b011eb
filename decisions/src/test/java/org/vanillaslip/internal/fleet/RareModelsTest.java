package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests which models and adapters are served while many rare models are asked for. */
class RareModelsTest {

    private static final int SEEDS = 20;

    /** Of the models and adapters asked for repeatedly, this many may never be served. */
    private static final int MAX_NEVER_SERVED = 1;

    private static final double MAX_NEVER_SERVED_FRACTION = 0.1;

    /** Guards against rare models whose callers are refused again and again and never served. */
    @Test
    void servesNearlyAllModelsAndAdaptersThatAreAskedForRepeatedly() {
        List<String> findings = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            PlacementSimulation simulation = new PlacementSimulation(seed).run();
            int never = simulation.neverServed().size();
            long repeated = simulation.repeatedSubjects();
            if (never > MAX_NEVER_SERVED + repeated * MAX_NEVER_SERVED_FRACTION) {
                findings.add(
                        String.format(
                                "seed %d: %d of %d; %s",
                                seed, never, repeated, simulation.summary()));
            }
        }

        assertThat(findings).isEmpty();
    }

    /** Guards against engines that crash because their memory or adapter slots are exceeded. */
    @Test
    void neverExceedsTheCapacityOfAnEngine() {
        List<String> violations =
                LongStream.rangeClosed(1, SEEDS)
                        .mapToObj(seed -> new PlacementSimulation(seed).run())
                        .flatMap(simulation -> simulation.violations().stream())
                        .toList();

        assertThat(violations).isEmpty();
    }
}
