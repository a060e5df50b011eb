package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.vanillaslip.Model;

/**
 * A mutable copy of the stored record in which the planners make their changes. It is discarded
 * unless it is written.
 */
final class ShardRecordDraft {

    private final ShardContext mContext;
    private final ShardRecord mStoredRecord;
    private final long mTerm;
    private final List<ShardEvent> mEvents = new ArrayList<>();
    private final Map<String, Integer> mAllowances;
    private List<Placement> mPlacements;
    private List<OfflineLoad> mOfflineLoads;
    private final ReplicaBudget mBudget;
    private long mNextDecision;
    private Optional<ShardRecord> mCachedRecord = Optional.empty();
    private Optional<ReplicaCounts> mCachedReplicas = Optional.empty();

    ShardRecordDraft(ShardContext context, ShardRecord stored) {
        mContext = context;
        mStoredRecord = stored;
        mTerm = stored.lease().term();
        mPlacements = new ArrayList<>(stored.placements());
        mOfflineLoads = new ArrayList<>(stored.offline());
        mAllowances = new HashMap<>(stored.allowances());
        mNextDecision = stored.nextDecision();
        mBudget = new ReplicaBudget(context.configuration());
    }

    ShardContext context() {
        return mContext;
    }

    /** Returns the record with all changes made so far. */
    ShardRecord record() {
        ShardRecord current =
                mCachedRecord.orElseGet(
                        () ->
                                new ShardRecord(
                                        mStoredRecord.lease(),
                                        mNextDecision,
                                        mContext.configuration().version(),
                                        mPlacements,
                                        mOfflineLoads,
                                        mAllowances));
        mCachedRecord = Optional.of(current);
        return current;
    }

    /** Returns how many replicas of the base model are loaded or may still be loaded. */
    int replicas(String model) {
        ReplicaCounts current =
                mCachedReplicas.orElseGet(() -> new ReplicaCounts(mPlacements, mOfflineLoads));
        mCachedReplicas = Optional.of(current);
        return current.of(model);
    }

    /** Returns the replica budgets, which do not change during a step. */
    ReplicaBudget replicaBudget() {
        return mBudget;
    }

    /** Returns whether the record differs in more than its lease and configuration version. */
    boolean hasChanges() {
        return !mPlacements.equals(mStoredRecord.placements())
                || !mOfflineLoads.equals(mStoredRecord.offline())
                || !mAllowances.equals(mStoredRecord.allowances());
    }

    List<ShardEvent> events() {
        return List.copyOf(mEvents);
    }

    List<Placement> placements() {
        return List.copyOf(mPlacements);
    }

    List<OfflineLoad> offlineLoads() {
        return List.copyOf(mOfflineLoads);
    }

    Optional<Placement> findPlacement(Predicate<Placement> condition) {
        return mPlacements.stream().filter(condition).findFirst();
    }

    void replace(Placement old, Optional<Placement> next) {
        List<Placement> placements = new ArrayList<>(mPlacements);
        int index = placements.indexOf(old);
        placements.remove(index);
        next.ifPresent(placement -> placements.add(index, placement));
        mPlacements = placements;
        clearCaches();
    }

    void addPlacement(Placement placement) {
        mPlacements.add(placement);
        clearCaches();
    }

    /** Records the decision to load a model version or adapter on a server. */
    void recordLoad(ServerReport report, Model model, String adapter, String reason) {
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
        addPlacement(placement);
        addEvent(ShardEventKind.LOAD_DECIDED, placement, reason);
    }

    /**
     * Records the decision to unload a placement; its memory counts as used until a report shows
     * the outcome.
     */
    void recordUnload(Placement placement, String reason) {
        Placement next =
                placement.withDecision(PlacementStage.UNLOAD_ORDERED, mNextDecision++, mTerm);
        replace(placement, Optional.of(next));
        addEvent(ShardEventKind.UNLOAD_DECIDED, next, reason);
    }

    void setAllowance(String model, int replicas) {
        if (replicas == 0) {
            mAllowances.remove(model);
        } else {
            mAllowances.put(model, replicas);
        }
        mCachedRecord = Optional.empty();
    }

    Set<String> modelsWithAllowance() {
        return Set.copyOf(mAllowances.keySet());
    }

    int allowance(String model) {
        return mAllowances.getOrDefault(model, 0);
    }

    void setOfflineLoads(List<OfflineLoad> loads) {
        mOfflineLoads = new ArrayList<>(loads);
        clearCaches();
    }

    /** Adds the model of a placement to the offline placement set. */
    void addOfflineLoad(Placement placement) {
        mOfflineLoads.add(
                new OfflineLoad(
                        mNextDecision++,
                        mTerm,
                        placement.server(),
                        placement.model(),
                        placement.version(),
                        placement.memoryBytes(),
                        0));
        clearCaches();
    }

    void addEvent(ShardEventKind kind, Placement placement, String reason) {
        mEvents.add(ShardEvent.ofPlacement(kind, placement, reason));
    }

    private void clearCaches() {
        mCachedRecord = Optional.empty();
        mCachedReplicas = Optional.empty();
    }
}
