package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.SettledWindow;
import org.vanillaslip.internal.usage.UsageLedger;

/** Sends recorded usage reports in the order of their windows, one at a time. */
public final class UsageSender {

    /** This duty and the other one may use half of the calls together. */
    private static final double PART_OF_CALLS = 0.25;

    /** Pause after the first failure; a single lost call costs little of the due time of 10 s. */
    private static final Duration MIN_BACKOFF = Duration.ofMillis(200);

    /** Leaves two tries or more in the 6 s between record and due time once the API is back. */
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    /** A report that the platform rejects must not keep it from getting later ones. */
    private static final int MAX_REJECTIONS = 3;

    private final String mHost;
    private final DutyCalls mCalls;
    private final LongPredicate mPermitted;
    private final Duration mMinInterval;
    private final DecisionLoop mLoop;
    private final DaemonMetrics mMetrics;
    private final EventLog mLog;
    private final Set<Long> mAccepted = new HashSet<>();
    private final Set<Long> mGivenUp = new HashSet<>();
    private boolean mInFlight;
    private long mNotBefore = Long.MIN_VALUE / 2;
    private Duration mBackoff = MIN_BACKOFF;
    private int mRejections;

    /**
     * Creates a sender.
     *
     * @param permitted whether this host may act under a term now
     * @param callsPerSecond rate of duty calls that the platform accepts from all hosts together
     */
    public UsageSender(
            String host,
            DutyCalls calls,
            LongPredicate permitted,
            double callsPerSecond,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mHost = host;
        mCalls = calls;
        mPermitted = permitted;
        mMinInterval =
                Duration.ofMillis(
                        Math.round(1000 / (PART_OF_CALLS * Math.max(0.1, callsPerSecond))));
        mLoop = loop;
        mMetrics = metrics;
        mLog = log;
    }

    /** Sends the earliest report that is not accepted, if a call may be made now. */
    void send(UsageLedger ledger, long term) {
        long now = mLoop.clock().nowNanos();
        if (mInFlight || now - mNotBefore < 0 || !mPermitted.test(term)) {
            return;
        }
        Set<Long> done = new HashSet<>(mAccepted);
        done.addAll(mGivenUp);
        ledger.firstUnaccepted(done).ifPresent(window -> send(window, term));
    }

    private void send(SettledWindow window, long term) {
        mInFlight = true;
        DutyRight right = new DutyRight(mHost, term, () -> mPermitted.test(term));
        mCalls.reportUsage(right, window.window(), window.callsByWorkspace())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        answer -> handleAnswer(window, term, answer),
                        error -> handleAnswer(window, term, DutyAnswer.UNKNOWN));
    }

    private void handleAnswer(SettledWindow window, long term, DutyAnswer answer) {
        mInFlight = false;
        mMetrics.usageReportSent(answer.name());
        long now = mLoop.clock().nowNanos();
        if (answer == DutyAnswer.ACCEPTED) {
            mAccepted.add(window.window());
            mRejections = 0;
            mBackoff = MIN_BACKOFF;
            mNotBefore = now + mMinInterval.toNanos();
            mLog.log(
                    DutyEvent.REPORT_ACCEPTED,
                    field("window", window.window()),
                    field("calls", window.calls()),
                    field("term", term));
            return;
        }
        mNotBefore = now + Math.max(mBackoff.toNanos(), mMinInterval.toNanos());
        if (answer == DutyAnswer.NOT_PERMITTED) {
            return;
        }
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
        boolean givenUp = answer == DutyAnswer.REJECTED && ++mRejections >= MAX_REJECTIONS;
        if (givenUp) {
            mGivenUp.add(window.window());
            mRejections = 0;
        }
        mLog.log(
                givenUp ? DutyEvent.REPORT_GIVEN_UP : DutyEvent.REPORT_REPEATED,
                field("window", window.window()),
                field("answer", answer),
                field("term", term));
    }

    /** Returns the windows whose reports were accepted, and not yet marked in the ledger. */
    Set<Long> accepted() {
        return Set.copyOf(mAccepted);
    }

    /** Forgets windows that the ledger marks as accepted or no longer contains. */
    void forgetAllBut(UsageLedger ledger) {
        Set<Long> open =
                ledger.windows().stream()
                        .filter(window -> !window.accepted())
                        .map(SettledWindow::window)
                        .collect(Collectors.toSet());
        mAccepted.retainAll(open);
        mGivenUp.retainAll(open);
    }
}
