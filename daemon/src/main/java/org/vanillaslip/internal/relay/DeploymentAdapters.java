package org.vanillaslip.internal.relay;

import org.vanillaslip.internal.fleet.EngineControl;
import org.vanillaslip.internal.fleet.ServingCollections;
import org.vanillaslip.internal.platform.ObjectStore;

/**
 * Adapters to the platform of a deployment: its store, callers, backend servers and load balancer.
 *
 * @param readinessPath path that the load balancer requests to check readiness
 */
public record DeploymentAdapters(
        ObjectStore store,
        ServingCollections collections,
        CallDialect dialect,
        EngineControl engines,
        String readinessPath) {}
