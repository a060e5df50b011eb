package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against shards that each use the weight store limits of the whole fleet. */
class WeightStoreLimitsTest {

    @ParameterizedTest
    @CsvSource({"1, 1, 6.0, 4, 32", "3, 1, 2.0, 1, 10", "2, 2, 1.5, 1, 8", "7, 10, 0.0857, 1, 1"})
    void dividesTheLimitsEquallyAmongDomainsAndThenAmongShards(
            int domains, int shards, double startsPerSecond, int parallel, int adapters) {
        WeightStoreLimits part = new WeightStoreLimits(6, 4, 32).perShard(domains, shards);
        assertThat(part.startsPerSecond()).isCloseTo(startsPerSecond, within(0.0001));
        assertThat(part.parallelLoads()).isEqualTo(parallel);
        assertThat(part.parallelAdapterLoads()).isEqualTo(adapters);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void startsLoadsNoFasterThanTheConfiguredRate(long seed) {
        ShardSimulation simulation = new ShardSimulation(FaultKind.NONE, 0, seed);
        simulation.run(2);
        List.of("a", "c", "d").forEach(simulation::requestModel);
        simulation.run(8);
        List<Long> startTimes = simulation.mLoadStartNanos;
        assertThat(startTimes).as("both servers are used").hasSizeGreaterThan(1);
        for (int i = 1; i < startTimes.size(); i++) {
            Duration interval = Duration.ofNanos(startTimes.get(i) - startTimes.get(i - 1));
            // The fastest clock runs 1% fast.
            assertThat(interval).isGreaterThanOrEqualTo(Duration.ofMillis(198));
        }
    }
}
