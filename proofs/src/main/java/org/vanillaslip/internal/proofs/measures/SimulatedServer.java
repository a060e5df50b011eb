package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.OrderAction;
import org.vanillaslip.internal.placement.ReportedModel;
import org.vanillaslip.internal.placement.ServerReport;

/** A model engine: memory limit, load times by place of the checkpoint, running requests. */
final class SimulatedServer {

    // Checkpoints that the host of the engine keeps, those used last, in memory and on disk. The
    // design gives no figures.
    private static final int IN_MEMORY = 2;
    private static final int ON_DISK = 12;

    private static final Duration ADAPTER_LOAD = Duration.ofMillis(10);

    private final EventQueue mEvents;
    private final WeightStore mStore;
    private final BackendServer mServer;
    private final Map<String, Model> mModels;
    private final Runnable mChanged;
    private final List<Entry> mResidents = new ArrayList<>();
    private final LinkedHashSet<String> mRecent = new LinkedHashSet<>();
    private final LinkedHashSet<String> mOnDisk = new LinkedHashSet<>();
    private int mIncarnation = 1;
    private long mHighestTerm;
    private long mAccountedNanos;
    private double mIdleSeconds;
    private double mResidentSeconds;
    private int mLoads;
    private int mRefused;

    SimulatedServer(
            EventQueue events,
            WeightStore store,
            BackendServer server,
            Map<String, Model> models,
            Runnable changed) {
        mEvents = events;
        mStore = store;
        mServer = server;
        mModels = models;
        mChanged = changed;
    }

    private static final class Entry {
        private final Order mOrder;
        private final long mBytes;
        private boolean mLoaded;
        private boolean mLeaving;
        private int mRunning;

        private Entry(Order order, long bytes) {
            mOrder = order;
            mBytes = bytes;
        }
    }

    void execute(Order order) {
        if (!order.incarnation().equals(incarnation())) {
            return;
        }
        mHighestTerm = Math.max(mHighestTerm, order.term());
        if (order.action() == OrderAction.LOAD) {
            load(order);
        } else if (order.action() == OrderAction.UNLOAD) {
            account();
            mResidents.stream()
                    .filter(entry -> isFor(entry, order))
                    .forEach(entry -> entry.mLeaving = true);
            removeLeaving();
        }
    }

    /** Loses everything that is loaded; checkpoints stay on the disk. */
    void restart() {
        account();
        mIncarnation++;
        mResidents.clear();
        mRecent.clear();
        mHighestTerm = 0;
    }

    boolean enter(ModelName name) {
        List<Entry> users = users(name);
        boolean complete = users.size() == (name.adapter().isPresent() ? 2 : 1);
        if (!complete || running() >= Fleet.CONCURRENCY) {
            return false;
        }
        account();
        users.forEach(entry -> entry.mRunning++);
        return true;
    }

    void leave(ModelName name) {
        account();
        users(name).forEach(entry -> entry.mRunning--);
        removeLeaving();
    }

    int running() {
        return mResidents.stream()
                .filter(entry -> entry.mOrder.adapter().isEmpty())
                .mapToInt(entry -> entry.mRunning)
                .sum();
    }

    boolean serves(ModelName name) {
        return users(name).stream().anyMatch(entry -> entry.mRunning > 0);
    }

    ServerReport report(long askedNanos) {
        Map<String, String> checkpoints = new HashMap<>();
        mOnDisk.forEach(model -> checkpoints.put(model, "disk"));
        mRecent.forEach(model -> checkpoints.put(model, "memory"));
        return new ServerReport(
                mServer.name(),
                incarnation(),
                mHighestTerm,
                usedBytes(),
                mResidents.stream()
                        .map(
                                entry ->
                                        new ReportedModel(
                                                entry.mOrder.model(),
                                                entry.mOrder.version(),
                                                entry.mOrder.adapter(),
                                                entry.mLoaded,
                                                entry.mOrder.decision()))
                        .toList(),
                checkpoints,
                Set.of(),
                askedNanos);
    }

    String incarnation() {
        return mServer.name() + "-" + mIncarnation;
    }

    BackendServer server() {
        return mServer;
    }

    int loads() {
        return mLoads;
    }

    /** Returns the loads that did not fit; any is a fault of the placement. */
    int refused() {
        return mRefused;
    }

    /** Returns the time that loaded models ran nothing, by their shares of the accelerators. */
    double idleSeconds() {
        account();
        return mIdleSeconds;
    }

    double residentSeconds() {
        account();
        return mResidentSeconds;
    }

    private void load(Order order) {
        if (mResidents.stream().anyMatch(entry -> isFor(entry, order))) {
            return;
        }
        Model model = Objects.requireNonNull(mModels.get(order.model()));
        boolean base = order.adapter().isEmpty();
        long bytes = base ? model.memoryBytes() : model.adapterMemoryBytes();
        if (usedBytes() + bytes > mServer.memoryBytes()) {
            mRefused++;
            return;
        }
        account();
        Entry entry = new Entry(order, bytes);
        mResidents.add(entry);
        Runnable loaded = () -> loaded(entry);
        if (!base) {
            mStore.loadAdapter(ADAPTER_LOAD, loaded);
            return;
        }
        mLoads++;
        if (mRecent.contains(order.model())) {
            mEvents.after(model.loadTimes().fromMemory().toNanos(), loaded);
        } else if (mOnDisk.contains(order.model())) {
            mEvents.after(model.loadTimes().fromDisk().toNanos(), loaded);
        } else {
            mStore.load(model.loadTimes().fromRemote(), loaded);
        }
    }

    private void loaded(Entry entry) {
        if (!mResidents.contains(entry)) {
            return;
        }
        account();
        entry.mLoaded = true;
        String model = entry.mOrder.model();
        if (entry.mOrder.adapter().isEmpty()) {
            keep(mOnDisk, model, ON_DISK);
            keep(mRecent, model, IN_MEMORY);
        }
        removeLeaving();
        mChanged.run();
    }

    private static void keep(LinkedHashSet<String> checkpoints, String model, int most) {
        checkpoints.remove(model);
        checkpoints.add(model);
        if (checkpoints.size() > most) {
            checkpoints.remove(checkpoints.iterator().next());
        }
    }

    private void removeLeaving() {
        if (mResidents.removeIf(e -> e.mLeaving && e.mLoaded && e.mRunning <= 0)) {
            mChanged.run();
        }
    }

    private List<Entry> users(ModelName name) {
        return mResidents.stream()
                .filter(entry -> entry.mLoaded && entry.mOrder.model().equals(name.model()))
                .filter(
                        entry ->
                                entry.mOrder.adapter().isEmpty()
                                        || entry.mOrder.adapter().equals(name.adapter().orElse("")))
                .toList();
    }

    private long usedBytes() {
        return mResidents.stream().mapToLong(entry -> entry.mBytes).sum();
    }

    private void account() {
        double seconds = (mEvents.nowNanos() - mAccountedNanos) / 1e9;
        mAccountedNanos = mEvents.nowNanos();
        for (Entry entry : mResidents) {
            if (entry.mLoaded && entry.mOrder.adapter().isEmpty()) {
                double share = (double) entry.mBytes / mServer.memoryBytes();
                double used = seconds * share * mServer.accelerators();
                mResidentSeconds += used;
                mIdleSeconds += entry.mRunning == 0 ? used : 0;
            }
        }
    }

    private static boolean isFor(Entry entry, Order order) {
        return entry.mOrder.model().equals(order.model())
                && entry.mOrder.version().equals(order.version())
                && entry.mOrder.adapter().equals(order.adapter());
    }
}
