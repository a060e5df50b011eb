package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.List;
import org.vanillaslip.internal.placement.WeightStoreLimits;

/**
 * The size of a deployment as section 1 of the design gives it. Only model engines take part.
 *
 * @param engines model engines by failure domain
 * @param idleWeight weight of idle accelerator time that the deployment chooses
 * @param deadlines deadlines of interactive, waiting and batch calls
 * @param shares shares of interactive, waiting and batch calls, which add up to 1
 */
record DeploymentSize(
        String name,
        List<Integer> engines,
        int models,
        int adapters,
        List<String> workspaces,
        double idleWeight,
        WeightStoreLimits weightStore,
        List<Duration> deadlines,
        List<Double> shares) {

    static final DeploymentSize MOSTRADOR =
            new DeploymentSize(
                    "Mostrador",
                    List.of(5, 4, 4),
                    105,
                    100,
                    List.of("w1", "w2", "w3", "w4", "w5"),
                    0.7,
                    new WeightStoreLimits(5, 4, 32),
                    List.of(Duration.ofSeconds(10), Duration.ofSeconds(60), Duration.ofMinutes(10)),
                    List.of(0.7, 0.2, 0.1));

    static final DeploymentSize HANBIT =
            new DeploymentSize(
                    "Hanbit",
                    List.of(2, 2, 1, 1),
                    50,
                    55,
                    List.of("w1", "w2", "w3", "w4", "w5"),
                    0.3,
                    new WeightStoreLimits(3, 4, 32),
                    List.of(Duration.ofSeconds(10), Duration.ofMinutes(10), Duration.ofMinutes(10)),
                    List.of(0.8, 0.1, 0.1));

    static final List<DeploymentSize> ALL = List.of(MOSTRADOR, HANBIT);
}
