package org.vanillaslip.internal.runtime;

import java.util.random.RandomGenerator;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.settings.Settings;

/**
 * Objects that the components of a host share.
 *
 * @param random source of random choices that tests can make reproducible with a seed; never used
 *     for identifiers
 */
record HostContext(
        Settings settings,
        DecisionLoop loop,
        ObjectStore store,
        RandomGenerator random,
        Identifiers identifiers,
        DaemonMetrics metrics,
        EventLog log) {

    /** Returns the name of this host. */
    String name() {
        return settings.host().name();
    }

    /** Returns the failure domain of this host. */
    FailureDomain failureDomain() {
        return settings.failureDomain();
    }
}
