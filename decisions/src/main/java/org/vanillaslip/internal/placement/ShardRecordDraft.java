package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.vanillaslip.Model;

/** The next record while it is being worked out; it is discarded unless it is written. */
final class ShardRecordDraft {

    private final ShardContext mContext;
    private final ShardRecord mStored;
    private final long mTerm;
    private final List<ShardEvent> mNotices = new ArrayList<>();
    private final Map<String, Integer> mAllowances;
    private List<Placement> mPlacements;
    private List<OfflineLoad> mOffline;
    private final ReplicaBudget mBudget;
    private long mNextDecision;
    private Optional<ShardRecord> mRecord = Optional.empty();
    private Optional<ReplicaCounts> mReplicas = Optional.empty();

    ShardRecordDraft(ShardContext context, ShardRecord stored) {
        mContext = context;
        mStored = stored;
        mTerm = stored.lease().term();
        mPlacements = new ArrayList<>(stored.placements());
        mOffline = new ArrayList<>(stored.offline());
        mAllowances = new HashMap<>(stored.allowances());
        mNextDecision = stored.nextDecision();
        mBudget = new ReplicaBudget(context.configuration());
    }

    ShardContext context() {
        return mContext;
    }

    /** Returns the record as worked out so far. */
    ShardRecord record() {
        ShardRecord current =
                mRecord.orElseGet(
                        () ->
                                new ShardRecord(
                                        mStored.lease(),
                                        mNextDecision,
                                        mContext.configuration().version(),
                                        mPlacements,
                                        mOffline,
                                        mAllowances));
        mRecord = Optional.of(current);
        return current;
    }

    /** Returns how many replicas of the base model are loaded or may still become loaded. */
    int replicas(String model) {
        ReplicaCounts current = mReplicas.orElseGet(() -> new ReplicaCounts(mPlacements, mOffline));
        mReplicas = Optional.of(current);
        return current.of(model);
    }

    /** Returns the replica budgets, which stay the same for the whole step. */
    ReplicaBudget budget() {
        return mBudget;
    }

    /** Returns whether anything but the lease and the configuration version differs. */
    boolean changed() {
        return !mPlacements.equals(mStored.placements())
                || !mOffline.equals(mStored.offline())
                || !mAllowances.equals(mStored.allowances());
    }

    List<ShardEvent> notices() {
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
        invalidate();
    }

    void add(Placement placement) {
        mPlacements.add(placement);
        invalidate();
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
        add(placement);
        note(ShardEventKind.LOAD_DECIDED, placement, reason);
    }

    /** Records the unload of a loaded placement; its memory stays taken. */
    void unload(Placement placement, String reason) {
        Placement next =
                placement.withDecision(PlacementStage.UNLOAD_ORDERED, mNextDecision++, mTerm);
        replace(placement, Optional.of(next));
        note(ShardEventKind.UNLOAD_DECIDED, next, reason);
    }

    void allow(String model, int replicas) {
        if (replicas == 0) {
            mAllowances.remove(model);
        } else {
            mAllowances.put(model, replicas);
        }
        mRecord = Optional.empty();
    }

    Set<String> allowedModels() {
        return Set.copyOf(mAllowances.keySet());
    }

    int allowance(String model) {
        return mAllowances.getOrDefault(model, 0);
    }

    void offline(List<OfflineLoad> loads) {
        mOffline = new ArrayList<>(loads);
        invalidate();
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
        invalidate();
    }

    void note(ShardEventKind kind, Placement placement, String reason) {
        mNotices.add(ShardEvent.ofPlacement(kind, placement, reason));
    }

    private void invalidate() {
        mRecord = Optional.empty();
        mReplicas = Optional.empty();
    }
}
