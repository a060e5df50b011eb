package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.FleetDigest;
import org.vanillaslip.messages.UsageCounts;
import org.vanillaslip.messages.UsageStatus;

/** What demand reports and digests carry about the usage of workspaces. */
public interface UsageMessages {

    /** Adds nothing, for deployments without usage reports. */
    UsageMessages NONE =
            new UsageMessages() {
                @Override
                public Optional<DemandReport> addCounts(
                        Optional<DemandReport> demand, String holder) {
                    return demand;
                }

                @Override
                public void handleCounts(String host, String incarnation, UsageCounts counts) {}

                @Override
                public void addStatus(FleetDigest.Builder digest) {}

                @Override
                public void handleStatus(UsageStatus status) {}
            };

    /** Returns the demand with the counts that the lease holder has to learn now. */
    Optional<DemandReport> addCounts(Optional<DemandReport> demand, String holder);

    /** Handles the counts of another host, as the lease holder. */
    void handleCounts(String host, String incarnation, UsageCounts counts);

    /** Adds the state of the reports to a digest of this host, the lease holder. */
    void addStatus(FleetDigest.Builder digest);

    /** Handles the state of the reports at the lease holder. */
    void handleStatus(UsageStatus status);
}
