package org.vanillaslip.internal.proofs.loads;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a planner that serves fewer calls on time than a baseline policy. */
class LoadPolicyTest {

    private static final List<Long> SEEDS = List.of(1L, 2L, 3L, 4L, 5L);

    static Stream<LoadPattern> patterns() {
        return LoadPolicyMeasure.PATTERNS.stream();
    }

    @ParameterizedTest
    @MethodSource("patterns")
    void plannerServesAtLeastAsManyCallsOnTimeAsEveryBaseline(LoadPattern pattern) {
        double planner = meanOnTimeFraction(LoadPolicyMeasure.planner(), pattern);

        LoadPolicyMeasure.policies()
                .forEach(
                        (name, policy) ->
                                assertThat(planner)
                                        .as(name)
                                        .isGreaterThanOrEqualTo(
                                                meanOnTimeFraction(policy, pattern)));
    }

    private static double meanOnTimeFraction(LoadPolicy policy, LoadPattern pattern) {
        return SEEDS.stream()
                .mapToDouble(
                        seed -> new LoadSimulation(policy, pattern, seed).run().onTimeFraction())
                .average()
                .orElseThrow();
    }
}
