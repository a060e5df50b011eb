package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.vanillaslip.internal.lease.LeaseRank;
import org.vanillaslip.internal.lease.LeaseRecord;
import org.vanillaslip.internal.lease.LeaseState;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/**
 * The lease that a host must hold to send orders to backend servers. Servers do not check fencing
 * numbers, so the orders of two holders are separated by a delay: a new holder sends its first
 * order the handover delay after the last one that the previous holder could have sent.
 */
public final class FleetLease {

    /** Name of the stored object; one host holds the lease for all servers of the deployment. */
    static final String NAME = "fleet";

    /** Term of the first holder of a deployment, if its store has never been restored. */
    public static final long FIRST_TERM = 1;

    /** Terms of an era of the store; far more than hosts can take in one. */
    static final int TERM_BITS_PER_ERA = 20;

    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration READ_INTERVAL = Duration.ofMillis(400);

    /** Hosts that are not among the first candidates read the lease less often. */
    private static final Duration NON_CANDIDATE_READ_INTERVAL = Duration.ofSeconds(5);

    /** Number of hosts that read the lease often; one is left if a failure domain is lost. */
    private static final int STANDBY_COUNT = 3;

    /** If a host's two clocks advance by amounts that differ more, one was set or stopped. */
    private static final long CLOCK_TOLERANCE_MILLIS = 200;

    private final String mHost;
    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final InstantSource mWallClock;
    private final LeaseTimes mTimes;
    private final LeaseHandover mHandover;
    private final Supplier<String> mNonces;
    private final Supplier<Collection<String>> mHosts;
    private final BooleanSupplier mIsCandidate;
    private final EventLog mLog;
    private LeaseState mState;
    private LeaseRecord mRecord = LeaseRecord.NONE;
    private long mNoOrdersUntil = Long.MIN_VALUE / 2;
    private long mWriteSentWallMillis;
    private long mReadAt = Long.MIN_VALUE / 2;
    private boolean mCallInFlight;
    private boolean mStopped;
    private Runnable mOnAcquired = () -> {};

    /**
     * Creates a lease that this host does not hold.
     *
     * @param wallClock clock that, unlike the loop's clock, advances while the host is suspended
     * @param handoverDelay time between the last order of a holder and the first of the next one
     * @param hosts live candidates and this host
     * @param isCandidate whether this host may soon have to acquire the lease, so that it reads it
     *     often
     */
    public FleetLease(
            String host,
            ObjectStore store,
            DecisionLoop loop,
            InstantSource wallClock,
            LeaseTimes times,
            Duration handoverDelay,
            Supplier<String> nonces,
            Supplier<Collection<String>> hosts,
            BooleanSupplier isCandidate,
            EventLog log) {
        mHost = host;
        mStore = store;
        mLoop = loop;
        mWallClock = wallClock;
        mTimes = times;
        mHandover = new LeaseHandover(handoverDelay);
        mNonces = nonces;
        mHosts = hosts;
        mIsCandidate = isCandidate;
        mLog = log;
        mState = LeaseState.unknown(loop.clock().nowNanos());
    }

    /** Registers a listener that is called when this host acquires the lease. */
    public void onAcquired(Runnable listener) {
        mOnAcquired = listener;
    }

    /** Starts to read the lease periodically. */
    public void start() {
        long period = TICK.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, 0, period, TimeUnit.NANOSECONDS);
    }

    /** Returns the host that held the lease when it was last read. */
    public Optional<String> holder() {
        return mRecord.released() ? Optional.empty() : Optional.of(mRecord.holder());
    }

    /** Returns whether this host is among the first to acquire the lease after its holder. */
    public boolean isStandby() {
        List<String> others =
                mHosts.get().stream().filter(host -> !host.equals(mRecord.holder())).toList();
        return LeaseRank.of(NAME, mHost, others) < STANDBY_COUNT;
    }

    /** Returns whether this host holds the lease, even if it may not send orders yet. */
    public boolean held() {
        return mState.holding();
    }

    /** Returns the term of the lease, which is the fencing number of this host's orders. */
    public long term() {
        return mState.term();
    }

    /** Returns whether this host may send an order now. */
    public boolean mayOrder() {
        long now = now();
        return !mStopped
                && mState.mayDecide(mTimes, now)
                && now - mNoOrdersUntil >= 0
                && clocksAgree(now);
    }

    /** Returns whether this host may send an order of the term. */
    public boolean mayOrder(long term) {
        return mState.term() == term && mayOrder();
    }

    /** Returns the orders that are unanswered when the holder changes. */
    LeaseHandover handover() {
        return mHandover;
    }

    /**
     * Releases the lease, because this host shuts down; called on the decision loop. A write that
     * is in flight may succeed before the release, which is then repeated.
     */
    public Mono<Void> release() {
        mStopped = true;
        return mState.holding() ? writeRelease() : Mono.empty();
    }

    private Mono<Void> writeRelease() {
        LeaseRecord released =
                new LeaseRecord("", mState.term(), mNonces.get(), mTimes.validity().toMillis());
        long version = mState.version();
        mState = new LeaseState(false, mState.term(), 0, version, now());
        ObjectNode spec = spec(released, mHandover.unanswered(now()));
        return mStore.update(PlatformCollections.CONTROL_SHARDS, NAME, version, spec)
                .doOnNext(result -> result.peekLeft(this::logWriteFailure))
                .then();
    }

    /**
     * Returns whether both clocks have advanced equally since the last write. The loop's clock
     * stops while the host is suspended, so only the wall clock shows that the lease has expired.
     */
    private boolean clocksAgree(long nowNanos) {
        long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mState.validFromNanos());
        long wallMillis = mWallClock.millis() - mWriteSentWallMillis;
        return Math.abs(wallMillis - monotonicMillis) <= CLOCK_TOLERANCE_MILLIS;
    }

    private void tick() {
        long now = now();
        boolean held = mState.holding();
        mState = mState.expire(mTimes, now);
        if (held && !mState.holding()) {
            mLog.log(FleetEvent.LEASE_LOST, field("term", mState.term()));
        }
        if (mCallInFlight || mStopped) {
            return;
        }
        if (mState.holding()) {
            if (!clocksAgree(now)) {
                mLog.log(FleetEvent.CLOCKS_DISAGREE, field("term", mState.term()));
                write(mState.term());
            } else if (mState.renewalDue(mTimes, now)) {
                write(mState.term());
            }
        } else if (now - mReadAt >= readInterval().toNanos()) {
            read();
        }
    }

    private void handleFault(Throwable fault) {
        mCallInFlight = false;
        mLog.log(FleetEvent.LEASE_FAULT, field("cause", fault.toString()));
    }

    private Duration readInterval() {
        return mIsCandidate.getAsBoolean() ? READ_INTERVAL : NON_CANDIDATE_READ_INTERVAL;
    }

    private void read() {
        mCallInFlight = true;
        mReadAt = now();
        mStore.readRecent(PlatformCollections.CONTROL_SHARDS, NAME)
                .publishOn(mLoop.scheduler())
                .subscribe(this::read, this::handleFault, () -> mCallInFlight = false);
    }

    private void read(Either<PlatformFailure, StoredObject> result) {
        mCallInFlight = false;
        if (result.isLeft()) {
            if (result.getLeft() == PlatformFailure.NOT_FOUND) {
                mRecord = LeaseRecord.NONE;
                mState = new LeaseState(false, mState.term(), 0, -1, now());
                write(FIRST_TERM);
            }
            return;
        }
        long now = now();
        StoredObject object = result.get();
        if (object.version() < mState.version()) {
            return;
        }
        LeaseEntry entry = LeaseEntry.decode(object.spec());
        mRecord = entry.record();
        mState = mState.observed(object.version(), mRecord, mHost, now);
        long firstTerm = firstTerm(object.version());
        // The store may have lost later holders, whose last orders nothing shows.
        boolean holdersLost = mRecord.term() < firstTerm;
        boolean own = mRecord.holder().equals(mHost) && !holdersLost;
        int rank = LeaseRank.of(NAME, mHost, mHosts.get());
        if (own || mState.mayTake(mTimes, mRecord, rank, now)) {
            // Only one process runs on a host, so the previous process of this host sends no more
            // orders. But it may have acquired the lease before the handover delay was over.
            mNoOrdersUntil =
                    own
                            ? Math.max(now + entry.quiet().toNanos(), mNoOrdersUntil)
                            : earliestFirstOrder(holdersLost, now);
            if (own) {
                mHandover.succeedOwnProcess(entry, now);
            } else {
                mHandover.succeedOtherHost(
                        holdersLost ? Optional.empty() : entry.unanswered(), now);
            }
            write(Math.max(mRecord.term() + 1, firstTerm));
        }
    }

    /**
     * Returns the first term of the era of a version, higher than all terms of earlier eras. A
     * store that has never been restored is in era 1, or names none.
     */
    private static long firstTerm(long version) {
        long restores = Math.max(0, StoreVersion.era(version) - 1);
        return (restores << TERM_BITS_PER_ERA) + FIRST_TERM;
    }

    /** The previous holder could send orders for the decision period after its last write. */
    private long earliestFirstOrder(boolean holdersLost, long nowNanos) {
        long lastOrder =
                mRecord.released() && !holdersLost
                        ? mState.versionSeenSinceNanos()
                        : mState.versionSeenSinceNanos() + mTimes.decisionPeriodNanos();
        return Math.max(
                nowNanos,
                lastOrder + mHandover.delay().plus(EngineControl.MAX_DELIVERY_TIME).toNanos());
    }

    private void write(long term) {
        mCallInFlight = true;
        LeaseRecord record =
                new LeaseRecord(mHost, term, mNonces.get(), mTimes.validity().toMillis());
        long sentAt = now();
        long sentAtWallMillis = mWallClock.millis();
        boolean create = mState.version() < 0;
        Mono<Either<PlatformFailure, StoredObject>> written =
                create
                        ? mStore.create(
                                PlatformCollections.CONTROL_SHARDS,
                                NAME,
                                spec(record, Optional.empty()))
                        : mStore.update(
                                PlatformCollections.CONTROL_SHARDS,
                                NAME,
                                mState.version(),
                                spec(record, Optional.empty()));
        written.flatMap(result -> resolveUnknownOutcome(result, record))
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> handleWritten(result, record, sentAt, sentAtWallMillis),
                        this::handleFault,
                        () -> mCallInFlight = false);
    }

    /** If the response to a write was lost, reads whether the write took effect. */
    private Mono<Either<PlatformFailure, StoredObject>> resolveUnknownOutcome(
            Either<PlatformFailure, StoredObject> result, LeaseRecord record) {
        if (result.isRight() || result.getLeft() != PlatformFailure.OUTCOME_UNKNOWN) {
            return Mono.just(result);
        }
        return mStore.read(PlatformCollections.CONTROL_SHARDS, NAME)
                .map(
                        found ->
                                found.isRight()
                                                && LeaseEntry.decode(found.get().spec())
                                                        .record()
                                                        .nonce()
                                                        .equals(record.nonce())
                                        ? found
                                        : Either.left(PlatformFailure.CONFLICT));
    }

    private void handleWritten(
            Either<PlatformFailure, StoredObject> result,
            LeaseRecord record,
            long sentAt,
            long sentAtWallMillis) {
        mCallInFlight = false;
        if (result.isLeft()) {
            boolean conflict = result.getLeft() == PlatformFailure.CONFLICT;
            if (conflict && mState.holding()) {
                mLog.log(FleetEvent.LEASE_LOST, field("term", mState.term()));
                mState = new LeaseState(false, mState.term(), 0, mState.version(), now());
            } else if (!conflict) {
                logWriteFailure(result.getLeft());
            }
            return;
        }
        mRecord = record;
        if (record.term() < firstTerm(result.get().version())) {
            // The lease was missing in a restored store, where another host may have held it.
            mState = mState.observed(result.get().version(), record, "", now());
            return;
        }
        boolean acquired = !mState.holding();
        mWriteSentWallMillis = sentAtWallMillis;
        mState = mState.written(result.get().version(), record, sentAt, now());
        if (mStopped) {
            writeRelease().subscribe(done -> {}, this::handleFault);
        } else if (acquired) {
            mLog.log(
                    FleetEvent.LEASE_TAKEN,
                    field("term", record.term()),
                    field("quiet_ms", Math.max(0, (mNoOrdersUntil - now()) / 1_000_000)));
            mOnAcquired.run();
        }
    }

    private void logWriteFailure(PlatformFailure failure) {
        mLog.log(FleetEvent.LEASE_WRITE_FAILED, field("failure", failure));
    }

    private ObjectNode spec(LeaseRecord record, Optional<Set<String>> unanswered) {
        long now = now();
        return new LeaseEntry(
                        record,
                        Duration.ofNanos(Math.max(0, mNoOrdersUntil - now)),
                        mHandover.remaining(now),
                        unanswered)
                .encode();
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
