package org.vanillaslip.internal.settings;

import java.util.Optional;
import org.vanillaslip.FailureDomain;

/** All settings of a daemon, which are read once at startup. */
public record Settings(
        HostSettings host,
        PlatformSettings platform,
        PeerSettings peers,
        AdmissionSettings admission,
        RoutingSettings routing,
        PlacementSettings placement,
        LogSettings log,
        Optional<ServingSettings> serving,
        Optional<DutySettings> duties) {

    /** Returns the failure domain of this host. */
    public FailureDomain failureDomain() {
        return host.failureDomain();
    }
}
