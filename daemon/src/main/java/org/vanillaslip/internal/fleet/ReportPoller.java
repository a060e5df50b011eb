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

/**
 * Polls engines for reports while this host holds the lease, and tracks the engines whose reports
 * are recent enough for planning.
 */
final class ReportPoller {

    /** Reports lag, so polling at a shorter interval would return the same report again. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /**
     * Report traffic is billed, and other lease holders and restarts change the loaded models less
     * often than this.
     */
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
     * Creates a poller that trusts no reports.
     *
     * @param listener receives each report with the server as it was when the poll was sent
     */
    ReportPoller(
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

    /** Distrusts all reports received so far. */
    void clear() {
        mPolledAt.clear();
        mTrustedStart.clear();
    }

    /** Trusts the reports of the server until it restarts. */
    void trust(FleetMember member) {
        mTrustedStart.put(member.instance(), member.registered().startedAtMillis());
    }

    /** Distrusts the server's reports until {@link #trust} is called for a newer one. */
    void distrust(String instance) {
        mTrustedStart.remove(instance);
    }

    /** Returns whether the server's reports since its last start are trusted. */
    boolean isTrusted(FleetMember member) {
        return Long.valueOf(member.registered().startedAtMillis())
                .equals(mTrustedStart.get(member.instance()));
    }

    /** Polls the server if its last poll is old, sooner while its reports are not trusted. */
    void pollIfDue(FleetMember member) {
        long polledAt = mPolledAt.getOrDefault(member.instance(), Long.MIN_VALUE / 2);
        Duration interval = isTrusted(member) ? TRUSTED_POLL_INTERVAL : POLL_INTERVAL;
        if (now() - polledAt >= interval.toNanos()) {
            poll(member);
        }
    }

    /** Polls the server after the delay; replaces a poll that was scheduled before. */
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
                .defaultIfEmpty(Either.left("The engine sent no report."))
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> handleResult(member, result),
                        error -> handleResult(member, Either.left(error.toString())));
    }

    private void handleResult(FleetMember member, Either<String, ServerLoadReport> result) {
        mPollsInFlight.remove(member.instance());
        if (result.isRight()) {
            handleReport(member, result.get());
            return;
        }
        mLog.log(
                FleetEvent.REPORT_FAILED,
                field("server", member.instance()),
                field("cause", result.getLeft()));
        member.health().recordUnreachable(now());
        // The server's entry in the store may lack the changes of the last orders.
        distrust(member.instance());
    }

    /** The list may lack a restart, after which the server counts its orders from zero. */
    private void handleReport(FleetMember member, ServerLoadReport report) {
        if (report.mayDescribe(member.registered().startedAtMillis())) {
            mListener.accept(member, report);
            return;
        }
        mLog.log(
                FleetEvent.REPORT_FAILED,
                field("server", member.instance()),
                field("cause", "The report is of a process that is not listed yet."));
        distrust(member.instance());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
