package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;

/** Asks engines for reports while the lease is held, and knows whose reports can be planned on. */
final class EngineReportPoller {

    /** A shorter interval than the lag of reports would ask for the same report again. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Reports are paid for; other holders and restarts change a stock more rarely than this. */
    private static final Duration TRUSTED_POLL_INTERVAL = Duration.ofSeconds(1);

    private final FleetLease mLease;
    private final EngineControl mEngines;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final BiConsumer<FleetMember, ServerLoadReport> mListener;
    private final Map<String, Long> mPolledAt = new HashMap<>();
    private final Map<String, Long> mTrustedStart = new HashMap<>();
    private final Map<String, Disposable> mScheduledPolls = new HashMap<>();
    private final Set<String> mPollsInFlight = new HashSet<>();

    /**
     * Creates an object that has asked for nothing.
     *
     * @param listener gets each report with the server as it was when it was asked
     */
    EngineReportPoller(
            FleetLease lease,
            EngineControl engines,
            DecisionLoop loop,
            EventLog log,
            BiConsumer<FleetMember, ServerLoadReport> listener) {
        mLease = lease;
        mEngines = engines;
        mLoop = loop;
        mLog = log;
        mListener = listener;
    }

    /** Trusts no report that has come so far. */
    void clear() {
        mPolledAt.clear();
        mTrustedStart.clear();
    }

    /** Trusts what the server's present life has reported. */
    void trust(FleetMember member) {
        mTrustedStart.put(member.instance(), member.registered().startedAtMillis());
    }

    /** Trusts the server again when a newer report has come. */
    void distrust(String instance) {
        mTrustedStart.remove(instance);
    }

    /** Returns whether a report of the server's present life is trusted. */
    boolean isTrusted(FleetMember member) {
        return Long.valueOf(member.registered().startedAtMillis())
                .equals(mTrustedStart.get(member.instance()));
    }

    /** Asks the server if its last report is old. */
    void pollIfDue(FleetMember member) {
        long polledAt = mPolledAt.getOrDefault(member.instance(), Long.MIN_VALUE / 2);
        Duration interval = isTrusted(member) ? TRUSTED_POLL_INTERVAL : POLL_INTERVAL;
        if (now() - polledAt >= interval.toNanos()) {
            poll(member);
        }
    }

    /** Asks the server after the delay, in place of an earlier plan to do so. */
    void pollAfter(FleetMember member, Duration delay) {
        Disposable poll =
                mLoop.scheduler()
                        .schedule(
                                () -> {
                                    if (mLease.held()) {
                                        poll(member);
                                    }
                                },
                                delay.toNanos(),
                                TimeUnit.NANOSECONDS);
        Disposable previous = mScheduledPolls.put(member.instance(), poll);
        if (previous != null) {
            previous.dispose();
        }
    }

    private void poll(FleetMember member) {
        if (!mPollsInFlight.add(member.instance())) {
            return;
        }
        mPolledAt.put(member.instance(), now());
        mEngines.requestReport(member.registered())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> handleResult(member, result),
                        error -> handleResult(member, Either.left(error.toString())));
    }

    private void handleResult(FleetMember member, Either<String, ServerLoadReport> result) {
        mPollsInFlight.remove(member.instance());
        if (result.isRight()) {
            mListener.accept(member, result.get());
            return;
        }
        mLog.log(
                FleetEvent.REPORT_FAILED,
                field("server", member.instance()),
                field("cause", result.getLeft()));
        member.health().recordUnreachable(now());
        // An entry of the store may miss what the last orders have changed.
        distrust(member.instance());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
