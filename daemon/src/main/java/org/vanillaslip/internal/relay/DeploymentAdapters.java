package org.vanillaslip.internal.relay;

import java.util.Optional;
import org.vanillaslip.internal.duty.DutyCalls;
import org.vanillaslip.internal.fleet.EngineControl;
import org.vanillaslip.internal.fleet.ServingCollections;
import org.vanillaslip.internal.platform.ObjectStore;

/**
 * Adapters to the platform of a deployment: its store, callers, backend servers and load balancer.
 *
 * @param dutyCalls calls to the platform that one host makes for all; empty if there are none
 * @param readinessPath path that the load balancer requests to check readiness
 */
public record DeploymentAdapters(
        ObjectStore store,
        ServingCollections collections,
        CallDialect dialect,
        EngineControl engines,
        Optional<DutyCalls> dutyCalls,
        String readinessPath) {}
