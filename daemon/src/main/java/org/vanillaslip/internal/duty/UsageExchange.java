package org.vanillaslip.internal.duty;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.vanillaslip.internal.fleet.UsageMessages;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.UsageSnapshot;
import org.vanillaslip.internal.usage.UsageSource;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.FleetDigest;
import org.vanillaslip.messages.UsageCounts;
import org.vanillaslip.messages.UsageStatus;
import org.vanillaslip.messages.UsageWindow;

/** Sends the counts of this host to the lease holder, and the clock of all from there. */
public final class UsageExchange implements UsageMessages {

    /** Time between two messages without demand. */
    private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Bounds what is lost with a host; in large deployments each host has few of the calls. */
    private static final Duration MIN_RUNNING_INTERVAL = Duration.ofMillis(300);

    /** Keeps messages at 100 a second for all hosts together, up to 100 hosts. */
    private static final Duration RUNNING_INTERVAL_PER_HOST = Duration.ofMillis(10);

    /** Bounds the loss with a host to a fifth of its calls in a window of 5 s. */
    private static final Duration MAX_RUNNING_INTERVAL = Duration.ofSeconds(1);

    private final UsageSource mSelf;
    private final UsageMeter mMeter;
    private final UsageReporter mReporter;
    private final IntSupplier mHosts;
    private final DecisionLoop mLoop;
    private String mHolder = "";
    private long mSequence;
    private long mSentAt = Long.MIN_VALUE / 2;

    /**
     * Creates an exchange.
     *
     * @param hosts number of hosts, this one included
     */
    public UsageExchange(
            UsageSource self,
            UsageMeter meter,
            UsageReporter reporter,
            IntSupplier hosts,
            DecisionLoop loop) {
        mSelf = self;
        mMeter = meter;
        mReporter = reporter;
        mHosts = hosts;
        mLoop = loop;
    }

    @Override
    public Optional<DemandReport> addCounts(Optional<DemandReport> demand, String holder) {
        if (!holder.equals(mHolder)) {
            mHolder = holder;
            mMeter.counts().resend();
        }
        mMeter.update();
        long now = mLoop.clock().nowNanos();
        boolean isSilent = now - mSentAt >= MAX_SILENCE_NANOS;
        boolean isHolder = holder.equals(mSelf.host());
        if (!isHolder && !isSilent && demand.isEmpty()) {
            return demand;
        }
        List<UsageSnapshot> due = mMeter.counts().takeDue(now, runningInterval());
        if (isHolder) {
            mReporter.record(mSelf, mMeter.counts().firstWindow(), ++mSequence, due);
            return demand;
        }
        if (due.isEmpty() && !isSilent) {
            return demand;
        }
        mSentAt = now;
        return Optional.of(
                demand.map(DemandReport::toBuilder)
                        .orElseGet(DemandReport::newBuilder)
                        .setUsage(counts(due))
                        .build());
    }

    private Duration runningInterval() {
        Duration interval = RUNNING_INTERVAL_PER_HOST.multipliedBy(mHosts.getAsInt());
        if (interval.compareTo(MIN_RUNNING_INTERVAL) < 0) {
            return MIN_RUNNING_INTERVAL;
        }
        return interval.compareTo(MAX_RUNNING_INTERVAL) < 0 ? interval : MAX_RUNNING_INTERVAL;
    }

    private UsageCounts counts(List<UsageSnapshot> due) {
        UsageCounts.Builder counts =
                UsageCounts.newBuilder()
                        .setSequence(++mSequence)
                        .setTimeOfDayMillis(mMeter.ownTimeOfDayMillis())
                        .setFirstWindow(mMeter.counts().firstWindow());
        due.forEach(
                snapshot ->
                        counts.addWindows(
                                UsageWindow.newBuilder()
                                        .setWindow(snapshot.window())
                                        .setComplete(snapshot.complete())
                                        .putAllCallsByWorkspace(snapshot.callsByWorkspace())));
        return counts.build();
    }

    @Override
    public void handleCounts(String host, String incarnation, UsageCounts counts) {
        mMeter.clock().recordClock(host, counts.getTimeOfDayMillis(), mLoop.clock().nowNanos());
        mReporter.record(
                new UsageSource(host, incarnation),
                counts.getFirstWindow(),
                counts.getSequence(),
                counts.getWindowsList().stream().map(UsageExchange::toSnapshot).toList());
    }

    private static UsageSnapshot toSnapshot(UsageWindow window) {
        return new UsageSnapshot(
                window.getWindow(), window.getComplete(), window.getCallsByWorkspaceMap());
    }

    @Override
    public void addStatus(FleetDigest.Builder digest) {
        UsageStatus.Builder status = UsageStatus.newBuilder().setTimeOfDayMillis(mMeter.millis());
        mReporter.closedThrough().ifPresent(status::setClosedThrough);
        digest.setUsage(status);
    }

    @Override
    public void handleStatus(UsageStatus status) {
        mMeter.clock().recordEstimate(status.getTimeOfDayMillis(), mLoop.clock().nowNanos());
        if (status.getClosedThrough() != 0) {
            mMeter.counts().setClosedThrough(status.getClosedThrough());
        }
    }
}
