package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.CollectedUsage;
import org.vanillaslip.internal.usage.CollectionProgress;
import org.vanillaslip.internal.usage.HostUsage;
import org.vanillaslip.internal.usage.SettledWindow;
import org.vanillaslip.internal.usage.Settlement;
import org.vanillaslip.internal.usage.UsageLedger;
import org.vanillaslip.internal.usage.UsageSnapshot;
import org.vanillaslip.internal.usage.UsageSource;
import reactor.core.publisher.Mono;

/**
 * Collects, records and reports the usage of all hosts while this host holds the lease. Only what
 * the store has confirmed is sent, and a window is recorded once, so that no two reports of a
 * window differ, whichever hosts send them.
 */
public final class UsageReporter {

    /** Interval of checks; short against the 4 s in which a window is settled by default. */
    private static final Duration TICK = Duration.ofMillis(100);

    /** Pause after a failed call to the store; at most 5 calls a second while it fails. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(200);

    /** In this time all hosts hear of a holder or a closed window and report what is open. */
    private static final Duration MIN_COLLECTION = Duration.ofMillis(2500);

    /** The rest of the time until a report is due is left for the record and for repeats. */
    private static final double COLLECTION_PART = 0.4;

    /** After a restore of the store, clocks of earlier holders may have been ahead by this. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(2);

    private final String mHost;
    private final FleetLease mLease;
    private final UsageMeter mMeter;
    private final UsageRecord mRecord;
    private final UsageSender mSender;
    private final Duration mDue;
    private final Supplier<Collection<String>> mLiveHosts;
    private final Supplier<Collection<String>> mListedHosts;
    private final DecisionLoop mLoop;
    private final DaemonMetrics mMetrics;
    private final EventLog mLog;
    private final CollectedUsage mCollected = new CollectedUsage();
    private final CollectionProgress mProgress = new CollectionProgress(MIN_COLLECTION);
    private Optional<StoredLedger> mStored = Optional.empty();

    /** The last confirmed ledger, kept after the lease ends; a restored store may lack parts. */
    private Optional<UsageLedger> mKnown = Optional.empty();

    private long mTerm;
    private long mGeneration;
    private long mClosedBefore;
    private boolean mNewDeployment;
    private boolean mStoreCallInFlight;
    private long mNoStoreCallUntil;

    /**
     * Creates a reporter that is not started.
     *
     * @param due time after the end of a window at which its report is due
     * @param liveHosts names of the other hosts that are reachable
     * @param listedHosts names of all hosts
     */
    public UsageReporter(
            String host,
            FleetLease lease,
            UsageMeter meter,
            UsageRecord record,
            UsageSender sender,
            Duration due,
            Supplier<Collection<String>> liveHosts,
            Supplier<Collection<String>> listedHosts,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mHost = host;
        mLease = lease;
        mMeter = meter;
        mRecord = record;
        mSender = sender;
        mDue = due;
        mLiveHosts = liveHosts;
        mListedHosts = listedHosts;
        mLoop = loop;
        mMetrics = metrics;
        mLog = log;
    }

    /** Starts to report whenever this host holds the lease. */
    public void start() {
        long period = TICK.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, 0, period, TimeUnit.NANOSECONDS);
    }

    /** Returns the last closed window, if this host holds the lease and has read the record. */
    OptionalLong closedThrough() {
        return mStored.map(stored -> OptionalLong.of(stored.ledger().closedThrough()))
                .orElseGet(OptionalLong::empty);
    }

    /** Records what a process has counted. */
    void record(
            UsageSource source, long firstWindow, long sequence, List<UsageSnapshot> snapshots) {
        long closed = closedThrough().orElse(Long.MIN_VALUE);
        long late =
                mCollected.record(
                        source, firstWindow, sequence, snapshots, mClosedBefore, closed, now());
        if (late > 0) {
            mMetrics.usageCallsLate(late);
            mLog.log(
                    DutyEvent.COUNTS_LATE,
                    field("host", source.host()),
                    field("calls", late),
                    field("closed_through", closed));
        }
    }

    private void tick() {
        mMeter.update();
        if (!mLease.held()) {
            endTerm();
            return;
        }
        if (mLease.term() != mTerm) {
            endTerm();
            mTerm = mLease.term();
        }
        if (!mStoreCallInFlight && now() >= mNoStoreCallUntil) {
            mStored.ifPresentOrElse(this::settle, this::read);
        }
        mStored.ifPresent(stored -> mSender.send(stored.ledger(), mTerm));
    }

    private void endTerm() {
        if (mTerm == 0) {
            return;
        }
        mTerm = 0;
        mGeneration++;
        mStored = Optional.empty();
        mNewDeployment = false;
        mStoreCallInFlight = false;
        mNoStoreCallUntil = now();
        mCollected.clear();
        mProgress.clear();
    }

    private void read() {
        call(mRecord.read(), this::handleRead);
    }

    private void handleRead(Either<PlatformFailure, StoredLedger> result) {
        if (result.isLeft() && result.getLeft() == PlatformFailure.NOT_FOUND) {
            create();
        } else {
            handleResult(result);
        }
    }

    /**
     * Creates the record without windows, since a creation does not show whether the store was
     * restored. Only the first holder of a deployment knows that nothing was reported before.
     */
    private void create() {
        mNewDeployment = mKnown.isEmpty() && mLease.term() == FleetLease.FIRST_TERM;
        UsageLedger ledger =
                mNewDeployment
                        ? new UsageLedger(0, mMeter.counts().firstWindow() - 2, List.of())
                        : new UsageLedger(-1, lastPossiblyReported(), List.of());
        call(mRecord.create(ledger), this::handleResult);
    }

    private void handleResult(Either<PlatformFailure, StoredLedger> result) {
        result.peek(this::adopt).peekLeft(failure -> handleFailure(failure.name()));
    }

    /** Whether a write took effect is open after a failure, so the record is read again. */
    private void handleFailure(String cause) {
        mStored = Optional.empty();
        mNoStoreCallUntil = now() + STORE_RETRY_DELAY.toNanos();
        mLog.log(DutyEvent.USAGE_RECORD_FAILED, field("cause", cause), field("term", mTerm));
    }

    private void adopt(StoredLedger stored) {
        if (stored.mayHaveLostChanges()) {
            mStored = Optional.empty();
            mNewDeployment = false;
            UsageLedger ledger =
                    stored.ledger()
                            .afterRestore(
                                    StoredLedger.restores(stored.version()),
                                    mKnown,
                                    lastPossiblyReported());
            mLog.log(
                    DutyEvent.USAGE_RECORD_RESTORED,
                    field("closed_through_before", stored.ledger().closedThrough()),
                    field("closed_through", ledger.closedThrough()),
                    field("term", mTerm));
            call(mRecord.update(ledger, stored.version()), this::handleResult);
            return;
        }
        if (mStored.isEmpty()) {
            mClosedBefore = stored.ledger().closedThrough();
        }
        mProgress.recordClosed(stored.ledger().closedThrough(), now());
        mStored = Optional.of(stored);
        mKnown = Optional.of(stored.ledger());
        mMeter.counts().setClosedThrough(stored.ledger().closedThrough());
        mCollected.removeClosed(stored.ledger().closedThrough(), now());
        mSender.forgetAllBut(stored.ledger());
    }

    /**
     * Returns the last window that an earlier holder may have reported until now. After a
     * suspension the estimated time of day may be behind for some seconds.
     */
    private long lastPossiblyReported() {
        long latestMillis = Math.max(mMeter.millis(), mMeter.ownTimeOfDayMillis());
        return mMeter.windows().lastEnded(latestMillis + CLOCK_MARGIN.toMillis());
    }

    private void settle(StoredLedger stored) {
        long closed = stored.ledger().closedThrough();
        long lastEnded = mMeter.windows().lastEnded(mMeter.millis());
        long firstKnown = mCollected.firstWindow().orElse(lastEnded + 1);
        long lastNotKept = Math.max(firstKnown - 1, lastEnded - 1 - HostUsage.MAX_OPEN_WINDOWS);
        long lastReported = mProgress.reportedThrough(lastNotKept, now());
        long lastTimeUp = Math.min(lastTimeUp(), lastReported);
        // Windows from before all processes that are known.
        long lastUnknown = Math.min(firstKnown - 1, lastTimeUp);
        List<SettledWindow> settled = new ArrayList<>();
        long through = Math.max(closed, lastUnknown);
        while (through < lastEnded) {
            long window = through + 1;
            Optional<Settlement> settlement =
                    mCollected.settle(
                            window,
                            mLiveHosts.get(),
                            mListedHosts.get(),
                            window <= lastTimeUp,
                            mNewDeployment,
                            now());
            if (settlement.isEmpty()) {
                break;
            }
            if (settlement.get().known()) {
                settled.add(toSettledWindow(window, settlement.get()));
            }
            through = window;
        }
        if (through > closed) {
            long leftOutWindows = through - closed - settled.size();
            UsageLedger ledger = stored.ledger().accept(mSender.accepted()).close(through, settled);
            call(
                    mRecord.update(ledger, stored.version()),
                    result -> {
                        result.peek(written -> recordSettled(settled, closed, leftOutWindows));
                        handleResult(result);
                    });
        }
    }

    /** Returns the last window for whose counts no host is waited for any longer. */
    private long lastTimeUp() {
        long limitMillis = Math.round(mDue.toMillis() * COLLECTION_PART);
        return mMeter.windows().lastEnded(mMeter.millis() - limitMillis);
    }

    private SettledWindow toSettledWindow(long window, Settlement settlement) {
        return new SettledWindow(
                window,
                settlement.callsByWorkspace(),
                mHost,
                mTerm,
                settlement.counted(),
                settlement.missing(),
                false);
    }

    private void recordSettled(List<SettledWindow> settled, long closed, long leftOutWindows) {
        settled.forEach(
                window -> {
                    mMetrics.usageWindow("settled");
                    mLog.log(
                            DutyEvent.WINDOW_SETTLED,
                            field("window", window.window()),
                            field("calls", window.calls()),
                            field("workspaces", window.callsByWorkspace().size()),
                            field("hosts", window.counted().size()),
                            field("missing", String.join(",", window.missing())),
                            field("term", mTerm));
                });
        if (leftOutWindows > 0) {
            mMetrics.usageWindow("left_out");
            mLog.log(
                    DutyEvent.WINDOWS_LEFT_OUT,
                    field("after", closed),
                    field("windows", leftOutWindows),
                    field("term", mTerm));
        }
    }

    /** Makes a call to the store; its answer counts only while this term lasts. */
    private <T> void call(
            Mono<Either<PlatformFailure, T>> call, Consumer<Either<PlatformFailure, T>> onResult) {
        long generation = mGeneration;
        mStoreCallInFlight = true;
        call.publishOn(mLoop.scheduler())
                .subscribe(
                        result -> {
                            if (generation == mGeneration) {
                                mStoreCallInFlight = false;
                                onResult.accept(result);
                            }
                        },
                        error -> {
                            if (generation == mGeneration) {
                                mStoreCallInFlight = false;
                                handleFailure(error.toString());
                            }
                        });
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
