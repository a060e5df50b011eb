package org.vanillaslip.internal.duty;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleToIntFunction;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.fleet.DrainFollower;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.RegisteredServer;
import org.vanillaslip.internal.fleet.ServingCollections;
import org.vanillaslip.internal.fleet.StoreAnswerHistory;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.CallerLimits;
import org.vanillaslip.internal.serving.ServerScaling;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.serving.ServingPlan;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;
import org.vanillaslip.messages.RunningCalls;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Hosts in virtual time that order servers from one platform, with separate clocks. */
final class ScalingWorld {

    private static final Duration STEP = Duration.ofMillis(10);
    private static final long DEMAND_INTERVAL_MILLIS = 300;
    private static final EventLog NO_LOG = (event, fields) -> {};

    final ScalingStore mStore = new ScalingStore();
    final ScalingPlatform mPlatform;
    final Map<String, TestHost> mHosts = new LinkedHashMap<>();
    private Optional<ServerScaling> mLimits;
    private DoubleToIntFunction mCalls = seconds -> 0;
    private long mMillis;

    /** Creates two hosts in each failure domain. */
    ScalingWorld(Optional<ServerScaling> limits, Map<String, Integer> servers) {
        mLimits = limits;
        mPlatform = new ScalingPlatform(servers);
        for (String domain : new TreeSet<>(servers.keySet())) {
            for (int index = 0; index < 2; index++) {
                String name = domain + index;
                mHosts.put(name, new TestHost(name, domain));
            }
        }
    }

    static ServerScaling limits(int min, int max) {
        return new ServerScaling(min, max, ScalingPlatform.BOOT_TIME);
    }

    void setCalls(DoubleToIntFunction callsAtSeconds) {
        mCalls = callsAtSeconds;
    }

    long millis() {
        return mMillis;
    }

    /** Returns the host that may act. */
    Optional<TestHost> holder() {
        return mHosts.values().stream()
                .filter(host -> host.mRunning && host.mLease.mayOrder())
                .findFirst();
    }

    void run(Duration time) {
        long end = mMillis + time.toMillis();
        while (mMillis < end) {
            mMillis += STEP.toMillis();
            mPlatform.advanceTo(mMillis);
            for (TestHost host : mHosts.values()) {
                if (host.mRunning) {
                    host.advance();
                }
            }
        }
    }

    private ServingPlan currentPlan() {
        ServicePool pool = new ServicePool(ScalingPlatform.POOL, "/", 0, Optional.empty(), mLimits);
        return new ServingPlan(
                1, List.of(), Map.of(pool.name(), pool), List.of(), Map.of(), CallerLimits.DEFAULT);
    }

    /** One host; its timers do not run while it is suspended or dead. */
    final class TestHost implements ServingCollections {
        final String mName;
        final Host mListed;
        boolean mRunning = true;
        boolean mHeard = true;
        VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
        ScalingStore.Access mAccess = mStore.new Access(mScheduler);
        FleetLease mLease;
        FleetDirectory mDirectory;
        ServerCountController mController;
        List<ServerCountGauge> mGauges = List.of();
        private long mVersion;

        TestHost(String name, String domain) {
            mName = name;
            mListed = new Host(name, new FailureDomain(domain), "10.0.0.1:7600", false);
            start();
        }

        /** Starts a new process, which remembers nothing. */
        void restart() {
            mScheduler = VirtualTimeScheduler.create(true);
            mAccess = mStore.new Access(mScheduler);
            mRunning = true;
            start();
        }

        private void start() {
            VirtualTimeScheduler scheduler = mScheduler;
            DecisionLoop loop =
                    new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
            int[] nonce = {0};
            mLease =
                    new FleetLease(
                            mName,
                            mAccess,
                            loop,
                            () -> Instant.ofEpochMilli(mMillis),
                            new LeaseTimes(Duration.ofMillis(2500), 0.01, Duration.ofMillis(150)),
                            Duration.ofSeconds(3),
                            () -> mName + mMillis + "-" + nonce[0]++,
                            () -> List.copyOf(mHosts.keySet()),
                            () -> true,
                            NO_LOG);
            DrainFollower drains = new DrainFollower(this, loop, NO_LOG);
            mDirectory = new FleetDirectory(this, drains, loop, new StoreAnswerHistory(), NO_LOG);
            DomainViews views =
                    new DomainViews(
                            mName, this::listedHosts, this::heardHosts, drains::isDrained, NO_LOG);
            mController =
                    new ServerCountController(
                            mName,
                            mLease,
                            mDirectory,
                            () -> Optional.of(currentPlan()),
                            new PoolObserver(mDirectory, views, mLease::held, loop),
                            new ServerCountRecord(mAccess),
                            new ServerCountSender(mPlatform.calls(scheduler), 50, loop, NO_LOG),
                            gauges -> mGauges = gauges,
                            loop,
                            NO_LOG);
            mLease.start();
            mController.start();
        }

        private List<Host> listedHosts() {
            return mHosts.values().stream().map(host -> host.mListed).toList();
        }

        private Set<String> heardHosts() {
            Set<String> heard = new TreeSet<>();
            mHosts.values().stream()
                    .filter(host -> host.mRunning && host.mHeard)
                    .forEach(host -> heard.add(host.mName));
            return heard;
        }

        private void advance() {
            if (mMillis % DEMAND_INTERVAL_MILLIS == 0) {
                listServers();
                if (mLease.held()) {
                    mController.recordDemand(mName, demand());
                }
            }
            mScheduler.advanceTimeBy(STEP);
        }

        private void listServers() {
            mVersion++;
            List<StoredObject> entries = new ArrayList<>();
            mPlatform
                    .servers()
                    .keySet()
                    .forEach(name -> entries.add(ScalingPlatform.entry(name, mVersion)));
            mDirectory.listed(new ObjectList(mVersion, entries));
        }

        /** All calls of the pool; as many as fit run, the others wait. */
        private DemandReport demand() {
            int calls = mCalls.applyAsInt(mMillis / 1000.0);
            DemandReport.Builder report = DemandReport.newBuilder();
            for (RegisteredServer server : mPlatform.servers().values()) {
                int running = Math.min(calls, server.requestSlots());
                calls -= running;
                report.addRunning(
                        RunningCalls.newBuilder().setServer(server.instance()).setCount(running));
            }
            return report.addModels(
                            ModelDemand.newBuilder()
                                    .setPool(ScalingPlatform.POOL)
                                    .setWaiting(calls))
                    .build();
        }

        @Override
        public String plans() {
            return "plans";
        }

        @Override
        public Optional<Either<String, ServingPlan>> plan(StoredObject object) {
            return Optional.empty();
        }

        @Override
        public String servers() {
            return "servers";
        }

        @Override
        public Either<String, RegisteredServer> server(StoredObject object) {
            return Either.right(mPlatform.servers().get(object.name()));
        }

        @Override
        public String drains() {
            return "drains";
        }

        @Override
        public FailureDomain drained(StoredObject object) {
            return new FailureDomain(object.name());
        }
    }
}
