package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillaslip.Model;

/** The next record while it is being worked out; it is discarded unless it is written. */
final class Draft {

    private final ShardContext mContext;
    private final ShardRecord mStored;
    private final long mTerm;
    private final List<Notice> mNotices = new ArrayList<>();
    private final Map<String, Integer> mAllowances;
    private List<Placement> mPlacements;
    private List<OfflineLoad> mOffline;
    private long mNextDecision;

    Draft(ShardContext context, ShardRecord stored) {
        mContext = context;
        mStored = stored;
        mTerm = stored.lease().term();
        mPlacements = new ArrayList<>(stored.placements());
        mOffline = new ArrayList<>(stored.offline());
        mAllowances = new HashMap<>(stored.allowances());
        mNextDecision = stored.nextDecision();
    }

    ShardContext context() {
        return mContext;
    }

    /** Returns the record as worked out so far. */
    ShardRecord record() {
        return mStored.withPlacements(mPlacements, mNextDecision)
                .withOffline(mOffline, mNextDecision)
                .withAllowances(mAllowances)
                .withConfigurationVersion(mContext.configuration().version());
    }

    /** Returns whether anything but the lease and the configuration version differs. */
    boolean changed() {
        ShardRecord next = record();
        return !next.placements().equals(mStored.placements())
                || !next.offline().equals(mStored.offline())
                || !next.allowances().equals(mStored.allowances());
    }

    List<Notice> notices() {
        return List.copyOf(mNotices);
    }

    List<Placement> placements() {
        return List.copyOf(mPlacements);
    }

    List<OfflineLoad> offline() {
        return List.copyOf(mOffline);
    }

    Optional<Placement> find(Predicate<Placement> condition) {
        return mPlacements.stream().filter(condition).findFirst();
    }

    void replace(Placement old, Optional<Placement> next) {
        List<Placement> placements = new ArrayList<>(mPlacements);
        int index = placements.indexOf(old);
        placements.remove(index);
        next.ifPresent(placement -> placements.add(index, placement));
        mPlacements = placements;
    }

    void add(Placement placement) {
        mPlacements.add(placement);
    }

    /** Records the load of a model version or adapter on a server. */
    void load(ServerReport report, Model model, String adapter, String reason) {
        long memory = adapter.isEmpty() ? model.memoryBytes() : model.adapterMemoryBytes();
        Placement placement =
                new Placement(
                        mNextDecision++,
                        mTerm,
                        report.server(),
                        report.incarnation(),
                        model.name(),
                        model.version(),
                        adapter,
                        memory,
                        PlacementStage.LOAD_ORDERED);
        mPlacements.add(placement);
        note(NoticeKind.LOAD_DECIDED, placement, reason);
    }

    /** Records the unload of a loaded placement; its memory stays taken. */
    void unload(Placement placement, String reason) {
        Placement next = placement.decided(PlacementStage.UNLOAD_ORDERED, mNextDecision++, mTerm);
        replace(placement, Optional.of(next));
        note(NoticeKind.UNLOAD_DECIDED, next, reason);
    }

    void allow(String model, int replicas) {
        if (replicas == 0) {
            mAllowances.remove(model);
        } else {
            mAllowances.put(model, replicas);
        }
    }

    int allowance(String model) {
        return mAllowances.getOrDefault(model, 0);
    }

    void offline(List<OfflineLoad> loads) {
        mOffline = new ArrayList<>(loads);
    }

    /** Adds a load to the offline placement set. */
    void addOffline(Placement placement) {
        mOffline.add(
                new OfflineLoad(
                        mNextDecision++,
                        mTerm,
                        placement.server(),
                        placement.model(),
                        placement.version(),
                        placement.memoryBytes(),
                        0));
    }

    void note(NoticeKind kind, Placement placement, String reason) {
        mNotices.add(Notice.of(kind, placement, reason));
    }
}
