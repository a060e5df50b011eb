package org.vanillaslip.internal.relay;

import java.util.List;
import java.util.Optional;
import org.vanillaslip.internal.fleet.PlanFollower;
import org.vanillaslip.internal.quarantine.PromptFaultExchange;
import org.vanillaslip.internal.serving.ServingPlan;
import org.vanillaslip.messages.Heartbeat;

/** Builds the heartbeats of a host. */
final class HostHeartbeat {

    private HostHeartbeat() {}

    /** Returns the heartbeat; components that are not yet created contribute nothing. */
    static Heartbeat of(
            boolean leaving, Optional<PromptFaultExchange> faults, Optional<PlanFollower> plans) {
        return Heartbeat.newBuilder()
                .setLeaving(leaving)
                .addAllQuarantinedParts(
                        faults.map(PromptFaultExchange::quarantinedParts).orElse(List.of()))
                .setConfigurationVersion(
                        plans.flatMap(PlanFollower::current).map(ServingPlan::version).orElse(0L))
                .build();
    }
}
