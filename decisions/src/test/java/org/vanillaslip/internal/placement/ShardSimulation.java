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
 * Simulates two hosts, two servers and one store object. A seeded schedule delivers one message at
 * a time in random order. A fault is injected before the step with the given number.
 */
final class ShardSimulation {

    private static final long SECOND = 1_000_000_000L;

    final FakeStore mStore = new FakeStore();
    final List<FakeServer> mServers =
            List.of(new FakeServer("fenced", true), new FakeServer("unfenced", false));
    final List<FakeHost> mHosts;
    private final Random mRandom;
    private final List<Runnable> mMessages = new ArrayList<>();
    private final List<Runnable> mDelayedMessages = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final FaultKind mFaultKind;
    private final ShardFaults mFaults;
    private final int mFaultStep;
    private int mStep;
    private long mNowNanos;
    private final Set<String> mLoadedModels = new HashSet<>();
    final List<Order> mLoadOrders = new ArrayList<>();
    final List<Long> mLoadStartNanos = new ArrayList<>();
    private final Set<Long> mStartedDecisions = new HashSet<>();
    int mOrderCount;

    ShardSimulation(FaultKind fault, int faultStep, long seed) {
        mRandom = new Random(seed);
        mFaultKind = fault;
        mFaultStep = faultStep;
        // The clocks deviate by the maximum drift in opposite directions.
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
            if (mMessages.isEmpty() || mRandom.nextInt(4) == 0) {
                advanceTime((long) (mRandom.nextDouble() * SECOND / 4));
            } else {
                mMessages.remove(mRandom.nextInt(mMessages.size())).run();
            }
            checkInvariants();
        }
    }

    void configure(Configuration configuration) {
        mHosts.forEach(host -> host.mConfiguration = configuration);
    }

    /** Requests the model on every host. */
    void requestModel(String model) {
        mLoadedModels.remove(model);
        for (FakeHost host : mHosts) {
            host.deliver(
                    host.mRestartCount,
                    context ->
                            host.machine()
                                    .onModelRequested(
                                            host.mState,
                                            context,
                                            ShardFixture.name(model),
                                            host.now() + 20 * SECOND,
                                            host.now()));
        }
    }

    /** Returns whether the model has been on a server at any time since the last request for it. */
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
            host.deliver(
                    host.mRestartCount,
                    context -> host.machine().onTick(host.mState, context, host.now()));
            // Hosts without the lease poll rarely, so that their reports are old when they take
            // over.
            if (host.holdsLease() || mRandom.nextInt(150) == 0) {
                mServers.forEach(server -> poll(host, server));
            }
            executeOfflineLoads(host);
        }
    }

    private void poll(FakeHost host, FakeServer server) {
        if (host.mReclaimed || host.isFrozen() || !host.mPolledServers.add(server.mName)) {
            return;
        }
        int restartCount = host.mRestartCount;
        long requestedNanos = host.now();
        mMessages.add(
                () -> {
                    ServerReport report = server.report(requestedNanos);
                    mMessages.add(() -> deliverReport(host, restartCount, report));
                });
    }

    private void deliverReport(FakeHost host, int restartCount, ServerReport report) {
        if (restartCount == host.mRestartCount) {
            host.mPolledServers.remove(report.server());
        }
        host.deliver(
                restartCount,
                context -> host.machine().onServerReport(host.mState, context, report, host.now()));
    }

    /** Counts an action of a host as a step and injects the fault if it is due at this step. */
    void beforeAction(FakeHost host) {
        if (mStep++ == mFaultStep) {
            mFaultKind.inject(mFaults, host);
        }
    }

    void execute(FakeHost host, ShardAction action) {
        int restartCount = host.mRestartCount;
        if (host.mReclaimed) {
            return;
        } else if (action instanceof ReadObject) {
            mMessages.add(() -> read(host, restartCount));
        } else if (action instanceof WriteObject) {
            WriteObject write = (WriteObject) action;
            mMessages.add(() -> write(host, restartCount, write));
        } else if (action instanceof SendOrder) {
            mOrderCount++;
            Order order = ((SendOrder) action).order();
            if (order.action() == OrderAction.LOAD && mStartedDecisions.add(order.decision())) {
                mLoadStartNanos.add(mNowNanos);
            }
            Runnable delivery =
                    () -> {
                        if (execute(order)) {
                            mMessages.add(() -> deliverAcceptance(host, restartCount, order));
                        }
                    };
            if (order.action() == OrderAction.VOID && mRandom.nextInt(4) > 0) {
                mFaults.schedule(mRandom.nextInt(30), delivery);
            } else {
                (mFaults.mOrdersToDelay-- > 0 ? mDelayedMessages : mMessages).add(delivery);
            }
        } else if (action instanceof PublishRecord) {
            PublishRecord publish = (PublishRecord) action;
            mHosts.forEach(other -> mMessages.add(() -> deliverDigest(host, other, publish)));
        }
    }

    private void deliverDigest(FakeHost holder, FakeHost other, PublishRecord publish) {
        if (!mFaults.areConnected(holder, other)) {
            return;
        }
        other.deliver(
                other.mRestartCount,
                context ->
                        other.machine()
                                .onRecordReceived(
                                        other.mState,
                                        context,
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

    /**
     * Executes the offline placement set when neither the store nor a lease holder can be reached.
     */
    private void executeOfflineLoads(FakeHost host) {
        boolean disconnected =
                !mStore.reachable(host.mName)
                        && mHosts.stream()
                                .noneMatch(o -> o.holdsLease() && mFaults.areConnected(host, o));
        if (host.mReclaimed || host.isFrozen() || !disconnected) {
            return;
        }
        for (OfflineLoad load : host.mState.record().offline()) {
            // Rarely, so that some loads are executed only after their withdrawal, but often on
            // servers that have just restarted.
            if (load.active()
                    && mRandom.nextInt(mNowNanos < mFaults.mServersRestartedUntilNanos ? 3 : 100)
                            == 0) {
                mServers.stream()
                        .filter(server -> server.mName.equals(load.server()))
                        .forEach(server -> sendOfflineOrder(offlineOrder(load, server)));
            }
        }
    }

    private void sendOfflineOrder(Order order) {
        if (mFaults.mOfflineOrderDelaySeconds > 0) {
            mFaults.schedule(
                    mFaults.mOfflineOrderDelaySeconds + mRandom.nextInt(30), () -> execute(order));
        } else {
            mMessages.add(() -> execute(order));
        }
    }

    private static Order offlineOrder(OfflineLoad load, FakeServer server) {
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

    private void deliverAcceptance(FakeHost host, int restartCount, Order order) {
        if (restartCount == host.mRestartCount && !host.isFrozen()) {
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

    private void read(FakeHost host, int restartCount) {
        if (!mStore.reachable(host.mName)) {
            deliverAnswer(
                    host,
                    restartCount,
                    context -> host.machine().onCallRefused(host.mState, context, host.now()));
            return;
        }
        long version = mStore.version();
        ShardRecord record = mStore.record();
        Runnable answer =
                () ->
                        host.deliver(
                                restartCount,
                                context ->
                                        host.machine()
                                                .onRead(
                                                        host.mState,
                                                        context,
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

    private void write(FakeHost host, int restartCount, WriteObject write) {
        if (!mStore.reachable(host.mName)) {
            deliverAnswer(
                    host,
                    restartCount,
                    context -> host.machine().onCallRefused(host.mState, context, host.now()));
        } else if (mStore.mWritesToDelay > 0) {
            mStore.mWritesToDelay--;
            mDelayedMessages.add(() -> mStore.write(write.expectedVersion(), write.record()));
            mFaults.reconnectAfter(2);
            deliverAnswer(
                    host,
                    restartCount,
                    context -> host.machine().onAnswerLost(host.mState, context, host.now()));
        } else if (!mStore.write(write.expectedVersion(), write.record())) {
            deliverAnswer(
                    host,
                    restartCount,
                    context -> host.machine().onWriteConflict(host.mState, context, host.now()));
        } else if (mStore.mAnswersToLose > 0) {
            mStore.mAnswersToLose--;
            deliverAnswer(
                    host,
                    restartCount,
                    context -> host.machine().onAnswerLost(host.mState, context, host.now()));
        } else {
            long version = mStore.version();
            String nonce = write.record().lease().nonce();
            deliverAnswer(
                    host,
                    restartCount,
                    context ->
                            host.machine()
                                    .onWritten(host.mState, context, nonce, version, host.now()));
        }
    }

    private void deliverAnswer(
            FakeHost host,
            int restartCount,
            java.util.function.Function<ShardContext, ShardStep> event) {
        mMessages.add(() -> host.deliver(restartCount, event));
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
