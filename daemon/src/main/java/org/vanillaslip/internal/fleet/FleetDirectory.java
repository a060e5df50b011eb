package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.UnreadableEntries;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Directory of all listed backend servers; used on the decision loop only. */
public final class FleetDirectory implements CollectionListener {

    /**
     * No order can still be in flight to a name that was not listed for this long. The seconds
     * added account for the time for which a server stays listed after it has stopped.
     */
    private static final long NAME_RETENTION_NANOS =
            UnconfirmedOrders.MAX_EXECUTION_DELAY.plusSeconds(7).toNanos();

    /** The store removes entries that no server renews within three heartbeats, 3.6 seconds. */
    private static final Duration EXPIRY_TIME = Duration.ofSeconds(4);

    private final ServingCollections mCollections;
    private final DrainFollower mDrains;
    private final DecisionLoop mLoop;
    private final StoreAnswerHistory mStoreAnswers;
    private final EventLog mLog;
    private final Map<String, FleetMember> mMembers = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final List<Runnable> mListeners = new ArrayList<>();
    private final Map<String, RemovedServer> mRemoved = new HashMap<>();
    private final ListContinuity mContinuity = new ListContinuity();
    private final UnreadableEntries mUnreadable;
    private long mEra;
    private boolean mListed;

    /**
     * Creates an empty directory.
     *
     * @param storeAnswers shows whether entries may have expired in an outage of the store
     */
    public FleetDirectory(
            ServingCollections collections,
            DrainFollower drains,
            DecisionLoop loop,
            StoreAnswerHistory storeAnswers,
            EventLog log) {
        mCollections = collections;
        mDrains = drains;
        mLoop = loop;
        mStoreAnswers = storeAnswers;
        mLog = log;
        mUnreadable = new UnreadableEntries(FleetEvent.SERVER_UNREADABLE, loop.clock(), log);
    }

    /** Registers a listener for changes of servers or of their loaded models. */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns whether the server list has been read at least once. */
    public boolean listed() {
        return mListed;
    }

    /** Returns all listed servers. */
    public Collection<FleetMember> members() {
        return mMembers.values();
    }

    /** Returns the ids of the starts of all listed servers. */
    Set<String> startIds() {
        return mMembers.values().stream().map(FleetMember::startId).collect(Collectors.toSet());
    }

    /** Returns a server by name. */
    public Optional<FleetMember> member(String instance) {
        return Optional.ofNullable(mMembers.get(instance));
    }

    /**
     * Returns the failure domain of a start of a server while it is listed, and an empty name
     * before the list has been read.
     */
    public Optional<String> failureDomain(String startId) {
        if (!mListed) {
            return Optional.of("");
        }
        return member(FleetMember.instance(startId))
                .filter(member -> member.startId().equals(startId))
                .map(member -> member.registered().failureDomain().name());
    }

    /** Returns the servers of a pool that may get new calls, including those at capacity. */
    public List<FleetMember> inService(String pool) {
        return mMembers.values().stream()
                .filter(member -> member.registered().pool().equals(pool))
                .filter(this::inService)
                .toList();
    }

    /** Returns whether servers of the pool are listed and all of them leave. */
    boolean allLeaving(String pool) {
        boolean listed = false;
        for (FleetMember member : mMembers.values()) {
            if (member.registered().pool().equals(pool)) {
                if (!member.leaving()) {
                    return false;
                }
                listed = true;
            }
        }
        return listed;
    }

    /** Returns whether the server may get new calls. */
    public boolean inService(FleetMember member) {
        return member.inService() && !mDrains.isDrained(member.registered().failureDomain());
    }

    /**
     * Applies a report of a server, if the server has not restarted since.
     *
     * @param startedAtMillis start time of the server process that the report is about
     * @param newer whether the report is newer than everything known of the server's orders
     */
    public void applyReport(
            String instance, long startedAtMillis, ServerLoadReport report, boolean newer) {
        if (update(instance, startedAtMillis, report, newer)) {
            changed();
        }
    }

    /** Applies reports of several servers and notifies the listeners once. */
    void applyReports(List<ServerReport> reports) {
        boolean applied = false;
        for (ServerReport report : reports) {
            applied |= update(report.instance(), report.startedAtMillis(), report.load(), true);
        }
        if (applied) {
            changed();
        }
    }

    private boolean update(
            String instance, long startedAtMillis, ServerLoadReport report, boolean newer) {
        FleetMember member = mMembers.get(instance);
        if (member == null || member.registered().startedAtMillis() != startedAtMillis) {
            return false;
        }
        member.applyReport(report, newer, mLoop.clock().nowNanos());
        return true;
    }

    /** Notifies the listeners that a server has changed. */
    public void changed() {
        mListeners.forEach(Runnable::run);
    }

    @Override
    public void listed(ObjectList list) {
        mContinuity.recordHeard(mLoop.clock().nowNanos());
        long era = StoreVersion.era(list.version());
        if (mListed && era > mEra) {
            mLog.log(FleetEvent.STORE_RESTORED, field("era", era), field("before", mEra));
            mStoreAnswers.recordRestore(mLoop.clock().nowNanos());
        }
        mEra = Math.max(mEra, era);
        Set<String> names =
                list.objects().stream().map(StoredObject::name).collect(Collectors.toSet());
        List.copyOf(mMembers.keySet()).stream()
                .filter(name -> !names.contains(name))
                // A list may have been read before a change that has arrived earlier.
                .filter(name -> mVersions.getOrDefault(name, 0L) <= list.version())
                .forEach(name -> handleRemovedEntry(name, list.version()));
        mUnreadable.retain(names);
        list.objects().forEach(this::update);
        mVersions
                .entrySet()
                .removeIf(
                        known ->
                                known.getValue() <= list.version()
                                        && !names.contains(known.getKey())
                                        && !mMembers.containsKey(known.getKey()));
        changed();
        mListed = true;
    }

    @Override
    public void changed(WatchEvent event) {
        mContinuity.recordHeard(mLoop.clock().nowNanos());
        if (event.type() == WatchEventType.BOOKMARK) {
            return;
        }
        if (event.type() == WatchEventType.DELETED) {
            mUnreadable.remove(event.object().name());
            handleRemovedEntry(event.object().name(), event.object().version());
        } else {
            update(event.object());
        }
        changed();
    }

    private void update(StoredObject object) {
        if (object.version() == 0) {
            removeUnreadable(object.name(), object.fault().orElse("the version is missing"));
            return;
        }
        if (object.version() <= mVersions.getOrDefault(object.name(), 0L)) {
            return;
        }
        mVersions.put(object.name(), object.version());
        try {
            mCollections
                    .server(object)
                    .peek(entry -> registerReadable(entry, object.version()))
                    .peekLeft(fault -> removeUnreadable(object.name(), fault));
        } catch (RuntimeException fault) {
            // Any writer can add entries, and one of them must not hide the entries after it.
            removeUnreadable(object.name(), fault.toString());
        }
    }

    private void registerReadable(RegisteredServer entry, long version) {
        mUnreadable.remove(entry.instance());
        registerUnlessRestored(entry, version);
    }

    private void removeUnreadable(String name, String fault) {
        mUnreadable.report(name, fault);
        remove(name, mVersions.getOrDefault(name, 0L), "unreadable entry");
    }

    /**
     * Registers the entry, unless its server was removed before the store lost that. If the server
     * does not write it again, the store will remove it soon.
     */
    private void registerUnlessRestored(RegisteredServer entry, long version) {
        RemovedServer removed = mRemoved.get(entry.instance());
        boolean known = mMembers.containsKey(entry.instance());
        if (known || removed == null || !removed.isRestored(entry, version)) {
            register(entry);
            return;
        }
        mLog.log(
                FleetEvent.REMOVAL_KEPT,
                field("server", entry.instance()),
                field("revision", StoreVersion.revision(version)));
        mLoop.scheduler()
                .schedule(
                        () -> registerIfStillListed(entry, version),
                        EXPIRY_TIME.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void registerIfStillListed(RegisteredServer entry, long version) {
        if (mVersions.getOrDefault(entry.instance(), 0L) == version) {
            register(entry);
            changed();
        }
    }

    private void register(RegisteredServer entry) {
        long now = mLoop.clock().nowNanos();
        FleetMember known = mMembers.get(entry.instance());
        RegisteredServer server = withKnownAnnouncement(entry, known);
        boolean wasInService = known != null && known.inService();
        if (known != null && isSameProcess(known.registered(), server)) {
            known.updateRegistration(server, now);
        } else {
            boolean firstStart = isFirstStart(server.instance(), now);
            mMembers.put(server.instance(), new FleetMember(server, firstStart, now));
            logListed(server);
        }
        if (wasInService && server.leaving()) {
            logLeft(server.instance(), "announced");
        }
    }

    /**
     * Returns the entry as leaving if this process of the server has announced its shutdown before:
     * an entry that was written earlier may arrive later.
     */
    private RegisteredServer withKnownAnnouncement(
            RegisteredServer entry, @Nullable FleetMember known) {
        boolean announced =
                known != null
                        ? isSameProcess(known.registered(), entry) && known.registered().leaving()
                        : Optional.ofNullable(mRemoved.get(entry.instance()))
                                .filter(RemovedServer::announced)
                                .filter(removed -> removed.isProcessOf(entry))
                                .isPresent();
        if (!announced || entry.leaving()) {
            return entry;
        }
        mLog.log(
                FleetEvent.ANNOUNCEMENT_KEPT,
                field("server", entry.instance()),
                field("version", mVersions.getOrDefault(entry.instance(), 0L)));
        return entry.asLeaving();
    }

    /**
     * Returns whether no server of this name can have been listed recently. Names that were listed
     * before this host read the list for the first time, or while it heard no changes, are unknown
     * to it.
     */
    private boolean isFirstStart(String name, long nowNanos) {
        mRemoved.values()
                .removeIf(removed -> nowNanos - removed.removedAtNanos() > NAME_RETENTION_NANOS);
        boolean knownBefore = mMembers.containsKey(name) || mRemoved.containsKey(name);
        return !knownBefore && mContinuity.coversLast(NAME_RETENTION_NANOS, nowNanos);
    }

    private static boolean isSameProcess(RegisteredServer one, RegisteredServer other) {
        return one.startedAtMillis() == other.startedAtMillis()
                && one.address().equals(other.address());
    }

    private void handleRemovedEntry(String name, long version) {
        FleetMember member = mMembers.get(name);
        long entryVersion = mVersions.getOrDefault(name, 0L);
        long removedVersion = Math.max(version, entryVersion);
        mVersions.put(name, removedVersion);
        if (member == null) {
            return;
        }
        Duration relistingTime = mStoreAnswers.relistingTime(mLoop.clock().nowNanos());
        if (relistingTime.isZero() || !member.inService()) {
            remove(name, entryVersion, "entry removed");
            return;
        }
        mLog.log(
                FleetEvent.REMOVAL_DELAYED,
                field("server", name),
                field("delay_ms", relistingTime.toMillis()));
        mLoop.scheduler()
                .schedule(
                        () -> removeUnlessListedAgain(name, entryVersion, removedVersion),
                        relistingTime.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void removeUnlessListedAgain(String name, long entryVersion, long removedVersion) {
        if (mVersions.getOrDefault(name, 0L) == removedVersion) {
            remove(name, entryVersion, "entry not listed again");
            changed();
        }
    }

    private void remove(String name, long entryVersion, String reason) {
        FleetMember removed = mMembers.remove(name);
        if (removed != null) {
            mRemoved.put(
                    name,
                    new RemovedServer(
                            mLoop.clock().nowNanos(),
                            removed.registered().startedAtMillis(),
                            entryVersion,
                            removed.leaving()));
            logLeft(name, reason);
        }
    }

    private void logListed(RegisteredServer server) {
        mLog.log(
                FleetEvent.SERVER_LISTED,
                field("server", server.instance()),
                field("pool", server.pool()),
                field("failure_domain", server.failureDomain().name()),
                field("address", server.address()),
                field("born", server.startedAtMillis()),
                field("leaving", server.leaving()),
                field("loaded", server.modelState().loaded().size()),
                field("in_memory", server.modelState().inMemory().size()),
                field("on_disk", server.modelState().onDisk().size()));
    }

    private void logLeft(String instance, String reason) {
        mLog.log(FleetEvent.SERVER_LEFT, field("server", instance), field("reason", reason));
    }
}
