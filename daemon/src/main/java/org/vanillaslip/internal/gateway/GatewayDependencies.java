package org.vanillaslip.internal.gateway;

import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.runtime.DecisionLoop;

/**
 * Services of the host that the gateway uses.
 *
 * @param liveHosts supplies the names of the other hosts that sent a recent heartbeat
 * @param identifiers supplies request ids and attempt nonces that are unique over all hosts
 */
public record GatewayDependencies(
        ConfigurationView configuration,
        PlacementView placement,
        Supplier<Set<String>> liveHosts,
        WorkspaceQuotas quota,
        SlowStartSlots slots,
        ObjectStore store,
        DecisionLoop loop,
        RandomGenerator random,
        Supplier<String> identifiers,
        DaemonMetrics metrics,
        EventLog log) {}
