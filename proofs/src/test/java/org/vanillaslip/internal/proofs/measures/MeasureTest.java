package org.vanillaslip.internal.proofs.measures;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against measures that cannot be repeated and against requests counted twice or never. */
class MeasureTest {

    private static final long SEED = 7;

    @Test
    void aSeedAlwaysMakesTheSameTrace() {
        List<Arrival> trace = trace();
        assertThat(trace).isNotEmpty().isEqualTo(trace());
    }

    @Test
    void everyRequestEndsInExactlyOneWayAndNoLoadOvercommitsMemory() {
        // The longest deadline is 10 minutes.
        Duration duration = Duration.ofMinutes(75);
        List<Arrival> firstHour =
                trace().stream()
                        .filter(arrival -> arrival.nanos() < Duration.ofHours(1).toNanos())
                        .toList();
        ColdStartResult result =
                ColdStartResult.measure(
                        DeploymentSize.HANBIT,
                        KeepAliveVariant.chosen(0.3),
                        firstHour,
                        Duration.ZERO,
                        duration,
                        SEED);
        assertThat(result.requests()).isEqualTo(firstHour.size());
        assertThat(result.open()).isZero();
        assertThat(result.answered() + result.refused() + result.expired())
                .isEqualTo(result.requests());
        assertThat(result.cold()).isBetween(1, result.requests());
        assertThat(result.idleHours()).isBetween(0.0, result.residentHours());
        assertThat(result.unfitLoads()).isZero();
    }

    private static List<Arrival> trace() {
        return new TraceGenerator(DeploymentSize.HANBIT, SEED).generate();
    }
}
