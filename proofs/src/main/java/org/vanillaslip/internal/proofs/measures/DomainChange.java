package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.Set;

/** How a failure domain leaves and returns. */
enum DomainChange {
    /** Nothing leaves. */
    NONE("nothing leaves"),
    /** Operators drain the domain two minutes before it goes. */
    DRAIN("drain, 2 minutes' notice"),
    /** The domain goes without notice. */
    LOSS("loss without notice");

    static final Duration AWAY = Duration.ofHours(1);

    // The design leaves the load balancer open: it notices readiness within this time.
    private static final Duration ROUTING_DELAY = Duration.ofSeconds(5);
    private static final Duration CONFIGURATION_DELAY = Duration.ofMillis(100);
    private static final Duration NOTICE = Duration.ofMinutes(2);
    private static final int DOMAIN = 0;

    private final String mText;

    DomainChange(String text) {
        mText = text;
    }

    String text() {
        return mText;
    }

    /** Schedules the departure of the first, largest domain and its return. */
    void schedule(SimulatedDeployment deployment, long leavesNanos) {
        if (this == NONE) {
            return;
        }
        EventQueue events = deployment.events();
        long gone = leavesNanos;
        if (this == DRAIN) {
            gone += NOTICE.toNanos();
            events.at(
                    leavesNanos + CONFIGURATION_DELAY.toNanos(),
                    () -> deployment.drain(Set.of("d" + DOMAIN)));
        }
        events.at(leavesNanos + ROUTING_DELAY.toNanos(), () -> deployment.route(DOMAIN, false));
        events.at(gone, () -> deployment.domain(DOMAIN).lose());
        long returns = leavesNanos + AWAY.toNanos();
        events.at(
                returns,
                () -> {
                    deployment.drain(Set.of());
                    deployment.domain(DOMAIN).restore();
                });
        events.at(returns + ROUTING_DELAY.toNanos(), () -> deployment.route(DOMAIN, true));
    }
}
