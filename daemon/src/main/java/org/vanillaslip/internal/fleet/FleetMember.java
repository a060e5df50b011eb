package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.routing.ColdServerRateLimiter;
import org.vanillaslip.internal.routing.ServerHealth;

/** One life of a backend server as this host knows it; used on the decision loop only. */
public final class FleetMember {

    /** A server that said it has no place is not asked again for this long. */
    private static final long FULL_RETRY_NANOS = Duration.ofMillis(60).toNanos();

    /** A server that said it lacks a model is believed over an older list for this long. */
    private static final long MODEL_MISSING_NANOS = Duration.ofMillis(400).toNanos();

    /** A report may be this old. */
    static final Duration MAX_REPORT_LAG = Duration.ofMillis(500);

    /** A report goes before a registration for this long. */
    private static final long REPORT_VALID_NANOS = Duration.ofSeconds(3).toNanos();

    private final ServerHealth mHealth = new ServerHealth();
    private final ColdServerRateLimiter mColdRateLimiter = new ColdServerRateLimiter();
    private final Map<String, Integer> mOwnCallsByModel = new HashMap<>();
    private final Map<ModelName, Long> mModelMissingAt = new HashMap<>();
    private final boolean mFirstStart;
    private RegisteredServer mRegistered;
    private ServerModelState mModelState;
    private long mReportedAt = Long.MIN_VALUE;
    private long mAssumedDoneAt = Long.MIN_VALUE / 2;
    private int mOtherCalls;
    private int mOwnCalls;
    private long mColdUntil;
    private long mFullAt = Long.MIN_VALUE;
    private boolean mReplaced;

    FleetMember(RegisteredServer registered, boolean firstStart, long nowNanos) {
        mRegistered = registered;
        mFirstStart = firstStart;
        mModelState = registered.modelState();
        mColdUntil = nowNanos + Duration.ofMillis(registered.remainingColdMillis()).toNanos();
    }

    /** Returns what the server has registered. */
    public RegisteredServer registered() {
        return mRegistered;
    }

    /** Returns whether no server of this name was listed before, as far as late orders go back. */
    public boolean firstStart() {
        return mFirstStart;
    }

    /** Returns the name of the server. */
    public String instance() {
        return mRegistered.instance();
    }

    /** Returns what the server holds, from its newest report. */
    public ServerModelState modelState() {
        return mModelState;
    }

    /** Returns what this host has learned from its own calls. */
    public ServerHealth health() {
        return mHealth;
    }

    /** Returns the calls of this host that run or are being sent. */
    public int ownCalls() {
        return mOwnCalls;
    }

    /** Returns the calls of this host by model. */
    public Map<String, Integer> ownCallsByModel() {
        return mOwnCallsByModel;
    }

    /** Returns the places in use: the others' from the last report, this host's as they are now. */
    public int activeCalls() {
        return mOwnCalls + mOtherCalls;
    }

    /** Takes over a newer registration of the same life. */
    void updateRegistration(RegisteredServer registered, long nowNanos) {
        if (registered.remainingColdMillis() > mRegistered.remainingColdMillis()) {
            mColdUntil = nowNanos + Duration.ofMillis(registered.remainingColdMillis()).toNanos();
        }
        mRegistered = registered;
        boolean hasRecentReport =
                mReportedAt != Long.MIN_VALUE && nowNanos - mReportedAt < REPORT_VALID_NANOS;
        if (!hasRecentReport) {
            // Only reports count orders.
            mModelState =
                    ModelStateChanges.withMinimumOrderCount(
                            registered.modelState(), mModelState.orderCount());
        }
    }

    /** Takes over a report that is newer than the registration. */
    void applyReport(ServerLoadReport report, boolean newer, long nowNanos) {
        mReportedAt = nowNanos;
        mOtherCalls = Math.max(0, report.running() + report.queued() - mOwnCalls);
        if (predatesAssumedEnd(report.modelState(), nowNanos)) {
            return;
        }
        if (newer) {
            mModelState = report.modelState();
        } else {
            setModelState(report.modelState());
        }
    }

    /** Takes the last order for done, before a report shows it. */
    void assumeOrderDone(ServerModelState modelState, long nowNanos) {
        mAssumedDoneAt = nowNanos;
        setModelState(ModelStateChanges.withoutActiveOrder(modelState));
    }

    /**
     * A report lags, so it may still show the order that was assumed to be done. It lacks what the
     * order has loaded, though it counts as many orders as are known.
     */
    private boolean predatesAssumedEnd(ServerModelState hasRecentReport, long nowNanos) {
        return hasRecentReport.executingOrder()
                && !mModelState.executingOrder()
                && hasRecentReport.orderCount() == mModelState.orderCount()
                && nowNanos - mAssumedDoneAt < MAX_REPORT_LAG.toNanos();
    }

    /** Replaces what the server is known to hold. */
    void setModelState(ServerModelState modelState) {
        if (modelState.orderCount() >= mModelState.orderCount()) {
            mModelState = modelState;
        }
    }

    /** Returns whether the model and its adapter are loaded. */
    public boolean hasLoaded(ModelName name, long nowNanos) {
        Set<String> adapters = mModelState.loaded().get(name.model());
        if (adapters == null
                || isModelMissing(name, nowNanos)
                || isModelMissing(name.base(), nowNanos)) {
            return false;
        }
        return name.adapter().map(adapters::contains).orElse(true);
    }

    /** Notes that the server said it does not hold the model. */
    public void recordModelMissing(ModelName name, long nowNanos) {
        mModelMissingAt.put(name, nowNanos);
    }

    private boolean isModelMissing(ModelName name, long nowNanos) {
        Long missingAt = mModelMissingAt.get(name);
        if (missingAt == null) {
            return false;
        }
        if (nowNanos - missingAt > MODEL_MISSING_NANOS) {
            mModelMissingAt.remove(name);
            return false;
        }
        return true;
    }

    /** Notes that the server refused a call because it is full. */
    public void recordFull(long nowNanos) {
        mFullAt = nowNanos;
    }

    /** Notes that another server answers at the address. */
    public void recordReplaced() {
        mReplaced = true;
    }

    /** Returns whether the server takes new calls, as far as it has said. */
    public boolean inService() {
        return !mRegistered.leaving() && !mReplaced;
    }

    /** Returns whether a call may be sent now. */
    public boolean canAcceptCall(long nowNanos) {
        boolean full = mFullAt != Long.MIN_VALUE && nowNanos - mFullAt < FULL_RETRY_NANOS;
        return inService()
                && !full
                && mHealth.usable(nowNanos)
                && (!isCold(nowNanos) || mColdRateLimiter.allows(nowNanos));
    }

    /** Returns whether the server is cold. */
    public boolean isCold(long nowNanos) {
        return nowNanos - mColdUntil < 0;
    }

    /** Notes a call that is about to be sent. */
    public void recordCallStart(
            Optional<ModelName> model, double coldPerSecond, int hosts, long nowNanos) {
        mOwnCalls++;
        mHealth.recordSent();
        model.ifPresent(name -> mOwnCallsByModel.merge(name.model(), 1, Integer::sum));
        if (isCold(nowNanos) && coldPerSecond > 0) {
            mColdRateLimiter.recordCall(coldPerSecond, hosts, nowNanos);
        }
    }

    /** Notes that a call has ended. */
    public void recordCallEnd(Optional<ModelName> model) {
        mOwnCalls--;
        model.ifPresent(
                name ->
                        mOwnCallsByModel.computeIfPresent(
                                name.model(), (key, count) -> count > 1 ? count - 1 : null));
    }
}
