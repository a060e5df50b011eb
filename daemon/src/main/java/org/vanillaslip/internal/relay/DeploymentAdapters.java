package org.vanillaslip.internal.relay;

import org.vanillaslip.internal.fleet.EngineControl;
import org.vanillaslip.internal.fleet.ServingCollections;
import org.vanillaslip.internal.platform.ObjectStore;

/**
 * How a deployment speaks: its store, callers, servers and load balancer.
 *
 * @param readinessPath path on which the load balancer asks for readiness
 */
public record DeploymentAdapters(
        ObjectStore store,
        ServingCollections collections,
        CallDialect dialect,
        EngineControl engines,
        String readinessPath) {}
