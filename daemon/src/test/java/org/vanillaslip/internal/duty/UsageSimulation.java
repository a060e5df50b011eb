package org.vanillaslip.internal.duty;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.SettledWindow;
import org.vanillaslip.internal.usage.UsageLedger;
import org.vanillaslip.internal.usage.UsageSource;
import org.vanillaslip.internal.usage.UsageWindows;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.FleetDigest;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Hosts with clocks of their own, a shared store and the platform's API, in virtual time. */
final class UsageSimulation {

    static final Duration WINDOW = Duration.ofSeconds(5);
    static final Duration DUE = Duration.ofSeconds(10);
    static final Duration STEP = Duration.ofMillis(20);
    private static final long START_MILLIS = 1_767_225_601_000L;

    /** A call that the API has received. */
    record Call(long atMillis, String host, long term, long window, Map<String, Long> counts) {}

    /** How the API treats the calls of one host. */
    enum Treatment {
        ACCEPTED,
        THROTTLED,
        REJECTED,
        /** The call arrives and its answer is lost. */
        UNANSWERED,
        UNREACHED
    }

    final Map<String, TestHost> mHosts = new LinkedHashMap<>();
    final List<Call> mCalls = new ArrayList<>();
    final List<Call> mRefused = new ArrayList<>();

    /** Calls with counts that no host had recorded before. */
    final List<Call> mUnrecorded = new ArrayList<>();

    final Map<Long, Map<String, Long>> mTruth = new TreeMap<>();
    final UsageWindows mWindows = new UsageWindows(WINDOW);
    final SimulatedRecords mRecords = new SimulatedRecords();
    private long mNonces;
    private long mMillis = START_MILLIS;

    UsageSimulation(int hosts) {
        for (int index = 0; index < hosts; index++) {
            mHosts.put("h" + index, new TestHost("h" + index));
        }
        mHosts.values().forEach(TestHost::start);
    }

    final class TestHost implements DutyCalls {
        final String mName;
        VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
        FleetLease mLease;
        UsageMeter mMeter;
        UsageReporter mReporter;
        UsageExchange mExchange;
        boolean mDead;
        boolean mSuspended;
        final SimulatedRecords.Access mStore = mRecords.new Access(() -> mScheduler);
        boolean mUnheard;
        Treatment mTreatment = Treatment.ACCEPTED;
        Duration mConnectTime = Duration.ofMillis(20);
        long mClockStepMillis;
        private int mStarts;
        private String mKnownHolder = "";
        private long mKnownTerm;

        TestHost(String name) {
            mName = name;
        }

        /** Starts a new process; the timers of the previous one never run again. */
        void start() {
            mDead = false;
            mSuspended = false;
            mKnownHolder = "";
            mKnownTerm = 0;
            mScheduler = VirtualTimeScheduler.create(true);
            VirtualTimeScheduler scheduler = mScheduler;
            DecisionLoop loop =
                    new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
            DaemonMetrics metrics =
                    new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
            mLease =
                    new FleetLease(
                            mName,
                            mStore,
                            loop,
                            this::wallClock,
                            new LeaseTimes(Duration.ofMillis(2500), 0.01, Duration.ofMillis(150)),
                            Duration.ofSeconds(3),
                            () -> mName + ++mNonces,
                            () -> List.copyOf(mHosts.keySet()),
                            () -> true,
                            (event, fields) -> {});
            mMeter = new UsageMeter(mWindows, this::wallClock, loop);
            UsageSender sender =
                    new UsageSender(
                            mName,
                            this,
                            mLease::mayOrder,
                            50,
                            loop,
                            metrics,
                            (event, fields) -> {});
            mReporter =
                    new UsageReporter(
                            mName,
                            mLease,
                            mMeter,
                            new UsageRecord(mStore),
                            sender,
                            DUE,
                            () -> liveHosts(),
                            () -> mHosts.keySet(),
                            loop,
                            metrics,
                            (event, fields) -> {});
            mExchange =
                    new UsageExchange(
                            new UsageSource(mName, mName + "#" + ++mStarts),
                            mMeter,
                            mReporter,
                            mHosts::size,
                            loop);
            mLease.start();
            mReporter.start();
            long demand = Duration.ofMillis(300).toNanos();
            scheduler.schedulePeriodically(this::sendDemand, demand, demand, TimeUnit.NANOSECONDS);
            long digest = Duration.ofSeconds(1).toNanos();
            scheduler.schedulePeriodically(this::sendDigest, digest, digest, TimeUnit.NANOSECONDS);
        }

        private Instant wallClock() {
            return Instant.ofEpochMilli(mMillis + mClockStepMillis);
        }

        boolean runs() {
            return !mDead && !mSuspended;
        }

        private void sendDemand() {
            String holder =
                    mLease.held()
                            ? mName
                            : mKnownHolder.isEmpty() ? mLease.holder().orElse("") : mKnownHolder;
            if (holder.isEmpty()) {
                return;
            }
            Optional<DemandReport> report = mExchange.addCounts(Optional.empty(), holder);
            TestHost receiver = mHosts.get(holder);
            if (report.isPresent() && reaches(receiver) && receiver.mLease.held()) {
                receiver.mExchange.handleCounts(
                        mName, mName + "#" + mStarts, report.get().getUsage());
            }
        }

        private void sendDigest() {
            if (!mLease.held()) {
                return;
            }
            FleetDigest.Builder digest = FleetDigest.newBuilder().setTerm(mLease.term());
            mExchange.addStatus(digest);
            mHosts.values().stream()
                    .filter(host -> host != this && reaches(host))
                    .forEach(host -> host.handleDigest(mName, digest.build()));
        }

        private boolean reaches(TestHost other) {
            return other.runs() && !mUnheard && !other.mUnheard;
        }

        private void handleDigest(String sender, FleetDigest digest) {
            if (digest.getTerm() >= mKnownTerm && !mLease.held()) {
                mKnownTerm = digest.getTerm();
                mKnownHolder = sender;
                mExchange.handleStatus(digest.getUsage());
            }
        }

        private List<String> liveHosts() {
            return mHosts.values().stream()
                    .filter(host -> !host.mDead && reaches(host) && host != this)
                    .map(host -> host.mName)
                    .toList();
        }

        /** Serves a call that takes no time. */
        void serveCall(String workspace) {
            mMeter.update();
            CallUsage call = mMeter.begin(workspace, false);
            call.recordSend("server");
            call.recordAnswer("server");
            mTruth.computeIfAbsent(mWindows.at(mMillis), window -> new TreeMap<>())
                    .merge(workspace, 1L, Long::sum);
        }

        @Override
        public Mono<DutyAnswer> reportUsage(
                DutyRight right, long window, Map<String, Long> callsByWorkspace) {
            Treatment treatment = mTreatment;
            return Mono.delay(mConnectTime, mScheduler)
                    .map(
                            connected -> {
                                if (!right.permitted().getAsBoolean()) {
                                    return DutyAnswer.NOT_PERMITTED;
                                }
                                Call call =
                                        new Call(
                                                mMillis,
                                                right.holder(),
                                                right.term(),
                                                window,
                                                new TreeMap<>(callsByWorkspace));
                                return receive(call, treatment);
                            })
                    .delayElement(Duration.ofMillis(10), mScheduler);
        }

        @Override
        public Mono<DutyAnswer> orderServers(
                DutyRight right, String pool, String failureDomain, int servers) {
            return Mono.just(DutyAnswer.UNREACHED);
        }
    }

    private DutyAnswer receive(Call call, Treatment treatment) {
        if (!mRecords.wasRecorded(call.window(), call.counts())) {
            mUnrecorded.add(call);
        }
        return switch (treatment) {
            case ACCEPTED -> {
                mCalls.add(call);
                yield DutyAnswer.ACCEPTED;
            }
            case UNANSWERED -> {
                mCalls.add(call);
                yield DutyAnswer.UNKNOWN;
            }
            case THROTTLED -> {
                mRefused.add(call);
                yield DutyAnswer.THROTTLED;
            }
            case REJECTED -> {
                mRefused.add(call);
                yield DutyAnswer.REJECTED;
            }
            case UNREACHED -> DutyAnswer.UNREACHED;
        };
    }

    long millis() {
        return mMillis;
    }

    /** Returns the host that holds the lease and may act. */
    TestHost holder() {
        return mHosts.values().stream()
                .filter(host -> host.runs() && host.mLease.mayOrder())
                .findFirst()
                .orElseThrow();
    }

    /** Advances the time; each host that runs serves a call in every other step. */
    void run(Duration time) {
        long end = mMillis + time.toMillis();
        while (mMillis < end) {
            mMillis += STEP.toMillis();
            for (TestHost host : mHosts.values()) {
                if (host.runs()) {
                    host.mScheduler.advanceTimeBy(STEP);
                    if (mMillis / STEP.toMillis() % 2 == 0) {
                        host.serveCall("w" + mMillis / STEP.toMillis() / 2 % 3);
                    }
                }
            }
        }
    }

    /** Advances the time without calls. */
    void runIdle(Duration time) {
        long end = mMillis + time.toMillis();
        while (mMillis < end) {
            mMillis += STEP.toMillis();
            mHosts.values().stream()
                    .filter(TestHost::runs)
                    .forEach(host -> host.mScheduler.advanceTimeBy(STEP));
        }
    }

    /** Advances the time until a window has just ended. */
    void runToEndOfWindow() {
        long window = mWindows.at(mMillis);
        while (mWindows.at(mMillis) == window) {
            run(STEP);
        }
    }

    /** Returns the recorded reports. */
    UsageLedger ledger() {
        return mRecords.ledger();
    }

    Optional<SettledWindow> recorded(long window) {
        return ledger().window(window);
    }

    /** Returns the different reports of each window. */
    Map<Long, List<Map<String, Long>>> reports() {
        return mCalls.stream()
                .collect(
                        Collectors.groupingBy(
                                Call::window,
                                TreeMap::new,
                                Collectors.collectingAndThen(
                                        Collectors.toList(),
                                        calls ->
                                                calls.stream()
                                                        .map(Call::counts)
                                                        .distinct()
                                                        .toList())));
    }

    /** Returns the time from the end of the window to its first report. */
    long delayMillis(long window) {
        return mCalls.stream()
                        .filter(call -> call.window() == window)
                        .mapToLong(Call::atMillis)
                        .min()
                        .orElse(Long.MAX_VALUE / 2)
                - mWindows.endMillis(window);
    }
}
