package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.Set;

/** How a failure domain leaves and returns. */
enum DomainChange {
    /** Operators drain the domain two minutes before it goes. */
    DRAIN,
    /** The domain goes without notice. */
    LOSS;

    static final Duration LEAVES = Duration.ofHours(11);
    static final Duration RETURNS = Duration.ofHours(12);

    // The design leaves the load balancer open: it notices readiness within this time.
    private static final Duration ROUTING_DELAY = Duration.ofSeconds(5);
    private static final Duration CONFIGURATION_DELAY = Duration.ofMillis(100);
    private static final Duration NOTICE = Duration.ofMinutes(2);
    private static final int DOMAIN = 0;

    /** Schedules the departure and the return of the first, largest domain. */
    void schedule(SimulatedDeployment deployment) {
        Duration gone = LEAVES;
        if (this == DRAIN) {
            gone = LEAVES.plus(NOTICE);
            at(deployment, LEAVES.plus(CONFIGURATION_DELAY), () -> deployment.drain(Set.of("d0")));
        }
        at(deployment, LEAVES.plus(ROUTING_DELAY), () -> deployment.route(DOMAIN, false));
        at(deployment, gone, () -> deployment.domain(DOMAIN).lose());
        at(
                deployment,
                RETURNS,
                () -> {
                    deployment.drain(Set.of());
                    deployment.domain(DOMAIN).restore();
                });
        at(deployment, RETURNS.plus(ROUTING_DELAY), () -> deployment.route(DOMAIN, true));
    }

    private static void at(SimulatedDeployment deployment, Duration time, Runnable action) {
        deployment.events().at(time.toNanos(), action);
    }
}
