package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.vanillaslip.Configuration;

/**
 * Two hosts, two servers and one store object. A seeded schedule delivers one message at a time in
 * any order. Before the step with the given number, a fault is injected.
 */
final class ShardSimulation {

    private static final long SECOND = 1_000_000_000L;

    final FakeStore mStore = new FakeStore();
    final List<FakeServer> mServers =
            List.of(new FakeServer("fenced", true), new FakeServer("unfenced", false));
    final List<FakeHost> mHosts;
    private final Random mSchedule;
    private final List<Runnable> mMessages = new ArrayList<>();
    private final List<Runnable> mDelayedMessages = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final FaultKind mFault;
    private final ShardFaults mFaults;
    private final int mFaultStep;
    private int mStep;
    private long mNowNanos;
    private final Set<String> mLoadedModels = new HashSet<>();
    final List<Order> mLoadOrders = new ArrayList<>();
    final List<Long> mLoadStarts = new ArrayList<>();
    private final Set<Long> mStartedDecisions = new HashSet<>();
    int mOrderCount;

    ShardSimulation(FaultKind fault, int faultStep, long seed) {
        mSchedule = new Random(seed);
        mFault = fault;
        mFaultStep = faultStep;
        // The clocks differ by the full drift in opposite directions.
        mHosts =
                List.of(
                        new FakeHost("h0", 0, 0.99, this, seed + 1),
                        new FakeHost("h1", 1, 1.01, this, seed + 2));
        mFaults = new ShardFaults(this);
    }

    long nowNanos() {
        return mNowNanos;
    }

    List<String> violations() {
        return mViolations;
    }

    void run(int seconds) {
        long end = mNowNanos + seconds * SECOND;
        while (mNowNanos < end) {
            if (mMessages.isEmpty() || mSchedule.nextInt(4) == 0) {
                advanceTime((long) (mSchedule.nextDouble() * SECOND / 4));
            } else {
                mMessages.remove(mSchedule.nextInt(mMessages.size())).run();
            }
            checkInvariants();
        }
    }

    void configure(Configuration configuration) {
        mHosts.forEach(host -> host.mConfiguration = configuration);
    }

    /** Lets every host ask for the model. */
    void requestModel(String model) {
        mLoadedModels.remove(model);
        for (FakeHost host : mHosts) {
            host.deliver(
                    host.mRestarts,
                    c ->
                            host.machine()
                                    .onModelRequested(
                                            host.mState,
                                            c,
                                            ShardFixture.name(model),
                                            host.now() + 20 * SECOND,
                                            host.now()));
        }
    }

    /** Returns whether the model has been on a server at any time since it was last wanted. */
    boolean loadedSinceRequest(String model) {
        return mLoadedModels.contains(model);
    }

    Set<String> runningHosts() {
        return mHosts.stream()
                .filter(host -> !host.mReclaimed)
                .map(host -> host.mName)
                .collect(Collectors.toSet());
    }

    Stream<ReportedModel> loadedModels() {
        return mServers.stream().flatMap(server -> server.models().stream());
    }

    private void advanceTime(long nanos) {
        mNowNanos += nanos;
        if (mFaults.runDueFaults()) {
            mMessages.addAll(mDelayedMessages);
            mDelayedMessages.clear();
        }
        for (FakeHost host : mHosts) {
            host.resumeIfDue();
            host.deliver(host.mRestarts, c -> host.machine().onTick(host.mState, c, host.now()));
            // Hosts that hear from a holder poll rarely, so that their reports are old when they
            // take over.
            if (host.holdsLease() || mSchedule.nextInt(150) == 0) {
                mServers.forEach(server -> poll(host, server));
            }
            executeOfflineLoads(host);
        }
    }

    private void poll(FakeHost host, FakeServer server) {
        if (host.mReclaimed || host.isFrozen() || !host.mPolledServers.add(server.mName)) {
            return;
        }
        int life = host.mRestarts;
        long asked = host.now();
        mMessages.add(
                () -> {
                    ServerReport report = server.report(asked);
                    mMessages.add(() -> reported(host, life, report));
                });
    }

    private void reported(FakeHost host, int life, ServerReport report) {
        if (life == host.mRestarts) {
            host.mPolledServers.remove(report.server());
        }
        host.deliver(life, c -> host.machine().onServerReport(host.mState, c, report, host.now()));
    }

    /** Called before each action of a host: a step of the protocol at which a fault may strike. */
    void beforeAction(FakeHost host) {
        if (mStep++ == mFaultStep) {
            mFault.inject(mFaults, host);
        }
    }

    void execute(FakeHost host, ShardAction action) {
        int life = host.mRestarts;
        if (host.mReclaimed) {
            return;
        } else if (action instanceof ReadObject) {
            mMessages.add(() -> read(host, life));
        } else if (action instanceof WriteObject) {
            WriteObject write = (WriteObject) action;
            mMessages.add(() -> write(host, life, write));
        } else if (action instanceof SendOrder) {
            mOrderCount++;
            Order order = ((SendOrder) action).order();
            if (order.action() == OrderAction.LOAD && mStartedDecisions.add(order.decision())) {
                mLoadStarts.add(mNowNanos);
            }
            Runnable delivery =
                    () -> {
                        if (execute(order)) {
                            mMessages.add(() -> accepted(host, life, order));
                        }
                    };
            if (order.action() == OrderAction.VOID && mSchedule.nextInt(4) > 0) {
                mFaults.schedule(mSchedule.nextInt(30), delivery);
            } else {
                (mFaults.mOrdersToDelay-- > 0 ? mDelayedMessages : mMessages).add(delivery);
            }
        } else if (action instanceof PublishRecord) {
            PublishRecord publish = (PublishRecord) action;
            mHosts.forEach(other -> mMessages.add(() -> digest(host, other, publish)));
        }
    }

    private void digest(FakeHost holder, FakeHost other, PublishRecord publish) {
        if (!mFaults.areConnected(holder, other)) {
            return;
        }
        other.deliver(
                other.mRestarts,
                c ->
                        other.machine()
                                .onDigest(
                                        other.mState,
                                        c,
                                        publish.version(),
                                        publish.record(),
                                        other.now()));
        if (!other.mReclaimed && !other.isFrozen()) {
            long version = other.mState.lease().version();
            mMessages.add(
                    () ->
                            holder.mState =
                                    holder.machine()
                                            .onVersionConfirmed(
                                                    holder.mState,
                                                    other.mName,
                                                    version,
                                                    holder.now()));
        }
    }

    /** Carries out the offline placement set when neither store nor holder can be reached. */
    private void executeOfflineLoads(FakeHost host) {
        boolean alone =
                !mStore.reachable(host.mName)
                        && mHosts.stream()
                                .noneMatch(o -> o.holdsLease() && mFaults.areConnected(host, o));
        if (host.mReclaimed || host.isFrozen() || !alone) {
            return;
        }
        for (OfflineLoad load : host.mState.record().offline()) {
            // Seldom enough that some loads are carried out only after their withdrawal, but often
            // on servers that have just lost their models.
            if (load.active()
                    && mSchedule.nextInt(mNowNanos < mFaults.mServersRestartedUntilNanos ? 3 : 100)
                            == 0) {
                mServers.stream()
                        .filter(server -> server.mName.equals(load.server()))
                        .forEach(server -> sendOffline(order(load, server)));
            }
        }
    }

    private void sendOffline(Order order) {
        if (mFaults.mOfflineOrderDelaySeconds > 0) {
            mFaults.schedule(
                    mFaults.mOfflineOrderDelaySeconds + mSchedule.nextInt(30),
                    () -> execute(order));
        } else {
            mMessages.add(() -> execute(order));
        }
    }

    private static Order order(OfflineLoad load, FakeServer server) {
        return new Order(
                load.decision(),
                load.term(),
                load.server(),
                server.incarnation(),
                OrderAction.LOAD,
                load.model(),
                load.version(),
                "",
                "");
    }

    private void accepted(FakeHost host, int life, Order order) {
        if (life == host.mRestarts && !host.isFrozen()) {
            host.mState = host.machine().onOrderAccepted(host.mState, order, host.now());
        }
    }

    /** Returns whether the server accepted the order. */
    private boolean execute(Order order) {
        if (order.action() == OrderAction.LOAD) {
            mLoadOrders.add(order);
        }
        return mServers.stream()
                .filter(server -> server.mName.equals(order.server()))
                .anyMatch(server -> server.execute(order));
    }

    private void read(FakeHost host, int life) {
        if (!mStore.reachable(host.mName)) {
            answer(host, life, c -> host.machine().onCallRefused(host.mState, c, host.now()));
            return;
        }
        long version = mStore.version();
        ShardRecord record = mStore.record();
        Runnable answer =
                () ->
                        host.deliver(
                                life,
                                c ->
                                        host.machine()
                                                .onRead(
                                                        host.mState,
                                                        c,
                                                        version,
                                                        record,
                                                        host.now()));
        if (host.mReadDelaySeconds > 0) {
            mFaults.schedule(host.mReadDelaySeconds, answer);
            host.mReadDelaySeconds = 0;
        } else {
            mMessages.add(answer);
        }
    }

    private void write(FakeHost host, int life, WriteObject write) {
        if (!mStore.reachable(host.mName)) {
            answer(host, life, c -> host.machine().onCallRefused(host.mState, c, host.now()));
        } else if (mStore.mWritesToDelay > 0) {
            mStore.mWritesToDelay--;
            mDelayedMessages.add(() -> mStore.write(write.expectedVersion(), write.record()));
            mFaults.reconnectAfter(2);
            answer(host, life, c -> host.machine().onAnswerLost(host.mState, c, host.now()));
        } else if (!mStore.write(write.expectedVersion(), write.record())) {
            answer(host, life, c -> host.machine().onWriteConflict(host.mState, c, host.now()));
        } else if (mStore.mAnswersToLose > 0) {
            mStore.mAnswersToLose--;
            answer(host, life, c -> host.machine().onAnswerLost(host.mState, c, host.now()));
        } else {
            long version = mStore.version();
            String nonce = write.record().lease().nonce();
            answer(
                    host,
                    life,
                    c -> host.machine().onWritten(host.mState, c, nonce, version, host.now()));
        }
    }

    private void answer(
            FakeHost host, int life, java.util.function.Function<ShardContext, ShardStep> event) {
        mMessages.add(() -> host.deliver(life, event));
    }

    private void checkInvariants() {
        loadedModels().forEach(resident -> mLoadedModels.add(resident.model()));
        for (FakeServer server : mServers) {
            if (server.usedBytes() > ShardFixture.SERVER_MEMORY_BYTES) {
                addViolation("memory-not-overcommitted: " + server.mName + " " + server.models());
            }
        }
        for (String model : ShardFixture.MODEL_BYTES.keySet()) {
            if (loadedModels().filter(r -> r.model().equals(model)).count() > 1) {
                addViolation("replicas-as-decided: " + model + " loaded more than once");
            }
        }
    }

    private void addViolation(String text) {
        if (mViolations.size() < 3) {
            mViolations.add("after step " + mStep + ": " + text);
        }
    }
}
