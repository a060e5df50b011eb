package org.vanillaslip.internal.placement;

import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.lease.LeaseRecord;

/**
 * The stored object of a control shard. It contains the lease and the placements, so that a write
 * by a former lease holder fails as soon as a successor has taken the lease.
 *
 * @param nextDecision number of the next decision
 * @param configurationVersion version of the configuration on which the last write was based
 * @param offline the offline placement set
 * @param allowances number of replicas by model that this shard may have; a shard raises it only
 *     after all other shards have confirmed the same configuration
 */
public record ShardRecord(
        LeaseRecord lease,
        long nextDecision,
        long configurationVersion,
        List<Placement> placements,
        List<OfflineLoad> offline,
        Map<String, Integer> allowances) {

    /** The content of an object that does not exist yet. */
    public static final ShardRecord EMPTY =
            new ShardRecord(LeaseRecord.NONE, 1, 0, List.of(), List.of(), Map.of());

    /** Copies the collections so that the record is immutable. */
    public ShardRecord {
        placements = List.copyOf(placements);
        offline = List.copyOf(offline);
        allowances = Map.copyOf(allowances);
    }

    /** Returns this record with another lease. */
    public ShardRecord withLease(LeaseRecord newLease) {
        return new ShardRecord(
                newLease, nextDecision, configurationVersion, placements, offline, allowances);
    }

    /** Returns this record with other placements and another next decision number. */
    public ShardRecord withPlacements(List<Placement> newPlacements, long newNextDecision) {
        return new ShardRecord(
                lease, newNextDecision, configurationVersion, newPlacements, offline, allowances);
    }

    /** Returns this record based on the given configuration. */
    public ShardRecord withConfigurationVersion(long version) {
        return new ShardRecord(lease, nextDecision, version, placements, offline, allowances);
    }

    /** Returns this record with another offline placement set. */
    public ShardRecord withOffline(List<OfflineLoad> newOffline, long newNextDecision) {
        return new ShardRecord(
                lease, newNextDecision, configurationVersion, placements, newOffline, allowances);
    }

    /** Returns this record with other allowances. */
    public ShardRecord withAllowances(Map<String, Integer> newAllowances) {
        return new ShardRecord(
                lease, nextDecision, configurationVersion, placements, offline, newAllowances);
    }

    /** Returns how many replicas of the base model are loaded or may still be loaded. */
    public int replicas(String model) {
        return new ReplicaCounts(placements, offline).of(model);
    }
}
