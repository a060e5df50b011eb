package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.routing.ColdServerRateLimiter;
import org.vanillaslip.internal.routing.SendPermits;
import org.vanillaslip.internal.routing.ServerHealth;
import org.vanillaslip.internal.routing.ServerLimit;

/**
 * State of a backend server since its last start, as known to this host; used on the decision loop
 * only.
 */
public final class FleetMember {

    /** A server that refused a call because it is full gets no calls for this long. */
    private static final long FULL_RETRY_NANOS = Duration.ofMillis(60).toNanos();

    /** A server's answer that it lacks a model overrides its listed models for this long. */
    private static final long MODEL_MISSING_NANOS = Duration.ofMillis(400).toNanos();

    /** Maximum age of the state that a report shows when it arrives. */
    static final Duration MAX_REPORT_LAG = Duration.ofMillis(500);

    /** A report takes precedence over registrations for this long. */
    private static final long REPORT_VALID_NANOS = Duration.ofSeconds(3).toNanos();

    /** Far longer than any announced time until a stop, and short enough for any unit of time. */
    private static final Duration MAX_STOP_TIME = Duration.ofDays(1);

    private static final String START_SEPARATOR = "@";

    /** Far more than any server runs; sums with it do not overflow. */
    private static final int MAX_OTHER_CALLS = 1_000_000;

    private final ServerHealth mHealth = new ServerHealth();
    private final ColdServerRateLimiter mColdRateLimiter = new ColdServerRateLimiter();
    private final ServerLimit mLimit = new ServerLimit();
    private final ServerPause mPause = new ServerPause();
    private final SendPermits mPermits = new SendPermits();
    private final ReportedSpeed mSpeed = new ReportedSpeed();
    private final Map<String, Integer> mOwnCallsByModel = new HashMap<>();
    private final Map<ModelName, Long> mModelMissingAt = new HashMap<>();
    private final boolean mFirstStart;
    private final OrderCountHistory mOrderCounts;
    private RegisteredServer mRegistered;
    private ServerModelState mModelState;
    private long mReportedAt = Long.MIN_VALUE;
    private long mAssumedDoneAt = Long.MIN_VALUE / 2;
    private int mOtherCalls;
    private int mOwnCalls;
    private long mEndedCalls;
    private long mColdUntil;
    private long mFullAt = Long.MIN_VALUE;
    private long mStopsAt;
    private boolean mStops;
    private boolean mReplaced;
    private boolean mSaidLeaving;

    FleetMember(RegisteredServer registered, boolean firstStart, long nowNanos) {
        mRegistered = registered;
        mFirstStart = firstStart;
        mModelState = registered.modelState();
        mOrderCounts = new OrderCountHistory(mModelState.orderCount(), nowNanos);
        mColdUntil = nowNanos + Duration.ofMillis(registered.remainingColdMillis()).toNanos();
        recordStop(registered, nowNanos);
    }

    private void recordStop(RegisteredServer registered, long nowNanos) {
        mStops = registered.leaving() && registered.stopsInMillis().isPresent();
        if (mStops) {
            long millis =
                    Math.min(registered.stopsInMillis().getAsLong(), MAX_STOP_TIME.toMillis());
            mStopsAt = nowNanos + Duration.ofMillis(Math.max(0, millis)).toNanos();
        }
    }

    /** Returns whether the server has announced that it stops within the time. */
    public boolean stopsWithin(Duration time, long nowNanos) {
        return mStops && mStopsAt - nowNanos <= time.toNanos();
    }

    /** Returns the server's last registration. */
    public RegisteredServer registered() {
        return mRegistered;
    }

    /**
     * Returns whether no order to an earlier process of this name can still be in flight, because
     * none was listed recently.
     */
    public boolean firstStart() {
        return mFirstStart;
    }

    /** Returns the name of the server. */
    public String instance() {
        return mRegistered.instance();
    }

    /** Returns the name of the server and the time of its start, which no other process shares. */
    public String startId() {
        return instance() + START_SEPARATOR + mRegistered.startedAtMillis();
    }

    /** Returns the name of the server from the id of one of its starts. */
    static String instance(String startId) {
        int separator = startId.lastIndexOf(START_SEPARATOR);
        return separator < 0 ? startId : startId.substring(0, separator);
    }

    /** Returns the models that the server holds, as far as known. */
    public ServerModelState modelState() {
        return mModelState;
    }

    /** Returns when orders of other hosts were seen on the server. */
    OrderCountHistory orderCounts() {
        return mOrderCounts;
    }

    /** Returns the health of the server as seen by the calls of this host. */
    public ServerHealth health() {
        return mHealth;
    }

    /** Returns the limit of requests that the server has named. */
    public ServerLimit limit() {
        return mLimit;
    }

    /** Returns the pause that the server has asked for. */
    ServerPause pause() {
        return mPause;
    }

    /** Returns the speed of the server as the lease holder has measured it. */
    ReportedSpeed speed() {
        return mSpeed;
    }

    /** Returns this host's permits for requests to the server while it has a limit. */
    public SendPermits permits() {
        return mPermits;
    }

    /** Returns the number of calls of this host that run or are being sent. */
    public int ownCalls() {
        return mOwnCalls;
    }

    /** Returns the number of calls of this host that have ended since the server's start. */
    long endedCalls() {
        return mEndedCalls;
    }

    /** Returns the number of calls of this host by model. */
    public Map<String, Integer> ownCallsByModel() {
        return mOwnCallsByModel;
    }

    /** Returns the number of calls: of this host now, and of other hosts at the last report. */
    public int activeCalls() {
        return mOwnCalls + mOtherCalls;
    }

    /** Applies a newer registration of the same server process. */
    void updateRegistration(RegisteredServer registered, long nowNanos) {
        if (registered.remainingColdMillis() > mRegistered.remainingColdMillis()) {
            mColdUntil = nowNanos + Duration.ofMillis(registered.remainingColdMillis()).toNanos();
        }
        mRegistered = registered;
        recordStop(registered, nowNanos);
        boolean hasRecentReport =
                mReportedAt != Long.MIN_VALUE && nowNanos - mReportedAt < REPORT_VALID_NANOS;
        if (!hasRecentReport) {
            // Only reports contain a current order count.
            mModelState =
                    ModelStateChanges.withMinimumOrderCount(
                            registered.modelState(), mModelState.orderCount());
            mOrderCounts.recordCount(mModelState.orderCount(), nowNanos);
        }
    }

    /**
     * Applies a report.
     *
     * @param newer whether the report is newer than everything known of the server's orders, so
     *     that its order count may also be lower
     */
    void applyReport(ServerLoadReport report, boolean newer, long nowNanos) {
        mReportedAt = nowNanos;
        long calls = (long) report.running() + report.queued() - mOwnCalls;
        mOtherCalls = (int) Math.max(0, Math.min(MAX_OTHER_CALLS, calls));
        if (predatesAssumedEnd(report.modelState(), nowNanos)) {
            return;
        }
        if (newer) {
            mModelState = report.modelState();
        } else {
            setModelState(report.modelState());
        }
        mOrderCounts.recordCount(mModelState.orderCount(), nowNanos);
    }

    /** Assumes that the last order has been completed, before a report shows it. */
    void assumeOrderDone(ServerModelState modelState, long nowNanos) {
        mAssumedDoneAt = nowNanos;
        setModelState(ModelStateChanges.withoutActiveOrder(modelState));
    }

    /**
     * Returns whether the report may predate the assumed completion of the last order. Reports lag,
     * so such a report still shows the order as executing and lacks the model that it has loaded,
     * although its order count is the known one.
     */
    private boolean predatesAssumedEnd(ServerModelState reported, long nowNanos) {
        return reported.executingOrder()
                && !mModelState.executingOrder()
                && reported.orderCount() == mModelState.orderCount()
                && nowNanos - mAssumedDoneAt < MAX_REPORT_LAG.toNanos();
    }

    /** Replaces the model state, unless it counts fewer orders than the known one. */
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

    /** Records that the server answered that it has not loaded the model. */
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

    /** Records that the server refused a call because it is full. */
    public void recordFull(long nowNanos) {
        mFullAt = nowNanos;
    }

    /** Records that another server answers at the address. */
    public void recordReplaced() {
        mReplaced = true;
    }

    /**
     * Records that the server said in an answer that it leaves; this holds until its next start.
     *
     * @return whether this is news
     */
    boolean recordLeaving() {
        boolean news = !mSaidLeaving;
        mSaidLeaving = true;
        return news;
    }

    /** Returns whether the server has announced, in its entry or in an answer, that it leaves. */
    public boolean leaving() {
        return mSaidLeaving || mRegistered.leaving();
    }

    /** Returns whether the server is neither leaving nor replaced by another one. */
    public boolean inService() {
        return !leaving() && !mReplaced;
    }

    /** Returns whether a call may be sent now. */
    public boolean canAcceptCall(long nowNanos) {
        return canAcceptCallWithPermit(nowNanos)
                && (!mLimit.isLimited() || mPermits.isUsable(nowNanos));
    }

    /** Returns whether a call may be sent now, apart from the limit that the server has named. */
    boolean canAcceptCallWithPermit(long nowNanos) {
        boolean full = mFullAt != Long.MIN_VALUE && nowNanos - mFullAt < FULL_RETRY_NANOS;
        return inService()
                && !full
                && !mPause.holds(nowNanos)
                && mHealth.usable(nowNanos)
                && (!isCold(nowNanos) || mColdRateLimiter.allows(nowNanos));
    }

    /** Returns whether the server is still cold, so that its rate of calls may be limited. */
    public boolean isCold(long nowNanos) {
        return nowNanos - mColdUntil < 0;
    }

    /** Reserves a request slot for a call that is about to be sent. */
    RequestSlot reserveSlot(
            Optional<ModelName> model, double coldPerSecond, int hosts, long nowNanos) {
        mOwnCalls++;
        model.ifPresent(name -> mOwnCallsByModel.merge(name.model(), 1, Integer::sum));
        if (mLimit.isLimited()) {
            mPermits.use(nowNanos);
        }
        if (isCold(nowNanos) && coldPerSecond > 0) {
            mColdRateLimiter.recordCall(coldPerSecond, hosts, nowNanos);
        }
        return new RequestSlot(this, model, mHealth.recordSent(nowNanos));
    }

    /** Records the end of a call. */
    void recordCallEnd(Optional<ModelName> model) {
        mOwnCalls--;
        mEndedCalls++;
        model.ifPresent(
                name ->
                        mOwnCallsByModel.computeIfPresent(
                                name.model(), (key, count) -> count > 1 ? count - 1 : null));
    }
}
