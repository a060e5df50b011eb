package org.vanillaslip.internal.control.configuration;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.UnreadableEntries;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Keeps this host's copy of the platform's host list up to date. */
public final class HostListWatcher implements HostView {

    /** Hosts whose entries a restored store has lost register again within this time. */
    private static final Duration REGISTRATION_TIME = Duration.ofSeconds(3);

    private final HostCodec mCodec;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final UnreadableEntries mUnreadable;
    private final CollectionFollower mFollower;
    private final Sinks.Many<List<Host>> mChanges = Sinks.many().multicast().directBestEffort();
    private Consumer<Set<String>> mOnLost = names -> {};
    private volatile HostListState mState = HostListState.empty();
    private volatile List<Host> mHosts = List.of();

    /** Creates a watcher whose list is empty until it is started. */
    public HostListWatcher(
            ObjectStore store,
            HostCodec codec,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log) {
        mCodec = codec;
        mLoop = loop;
        mLog = log;
        mUnreadable = new UnreadableEntries(ConfigurationEvent.HOST_UNREADABLE, loop.clock(), log);
        mFollower =
                new CollectionFollower(
                        store,
                        PlatformCollections.HOSTS,
                        loop,
                        random,
                        log,
                        new PlatformListener());
    }

    /** Registers a listener for the names of hosts whose entries a restored store has lost. */
    public void onLost(Consumer<Set<String>> listener) {
        mOnLost = listener;
    }

    /** Starts following the platform; the returned handle stops it. */
    public Disposable start() {
        return mFollower.start();
    }

    @Override
    public List<Host> hosts() {
        return mHosts;
    }

    @Override
    public Flux<List<Host>> changes() {
        return mChanges.asFlux().onBackpressureLatest();
    }

    private void replaceState(HostListState state) {
        mState = state;
        List<Host> hosts = state.hosts();
        if (!hosts.equals(mHosts)) {
            mHosts = hosts;
            mLog.log(ConfigurationEvent.HOSTS_CHANGED, field("hosts", hosts.size()));
            mChanges.tryEmitNext(hosts);
        }
    }

    private HostListState.Entry decodeEntry(StoredObject object) {
        Optional<Host> host =
                mCodec.decode(object)
                        .peek(readable -> mUnreadable.remove(object.name()))
                        .peekLeft(
                                faults ->
                                        mUnreadable.report(
                                                object.name(),
                                                object.fault().orElseGet(faults::toString)))
                        .toJavaOptional();
        return new HostListState.Entry(object.version(), host);
    }

    /** Applies the lists and events of the platform. */
    private final class PlatformListener implements CollectionListener {
        private boolean mListed;
        private long mEra;

        @Override
        public void listed(ObjectList list) {
            Map<String, HostListState.Entry> entries = new HashMap<>();
            mUnreadable.retain(
                    list.objects().stream().map(StoredObject::name).collect(Collectors.toSet()));
            list.objects().forEach(object -> entries.put(object.name(), decodeEntry(object)));
            boolean restored = mListed && StoreVersion.era(list.version()) > mEra;
            mEra = Math.max(mEra, StoreVersion.era(list.version()));
            mListed = true;
            if (restored) {
                addRestored(entries, list.version());
            } else {
                replaceState(mState.withList(entries, list.version()));
            }
        }

        /** Hosts that the list lacks may still run, and register again if they do. */
        private void addRestored(Map<String, HostListState.Entry> entries, long version) {
            HostListState state = mState;
            for (Map.Entry<String, HostListState.Entry> entry : entries.entrySet()) {
                state = state.withEntry(entry.getKey(), entry.getValue());
            }
            replaceState(state);
            Set<String> lost = mHosts.stream().map(Host::name).collect(Collectors.toSet());
            lost.removeAll(entries.keySet());
            mOnLost.accept(lost);
            mLoop.scheduler()
                    .schedule(
                            () -> replaceState(mState.withList(entries, version)),
                            REGISTRATION_TIME.toNanos(),
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void changed(WatchEvent event) {
            StoredObject object = event.object();
            if (event.type() == WatchEventType.DELETED) {
                HostListState.Entry removal =
                        new HostListState.Entry(object.version(), Optional.empty());
                mUnreadable.remove(object.name());
                replaceState(mState.withEntry(object.name(), removal));
            } else if (event.type() != WatchEventType.BOOKMARK) {
                replaceState(mState.withEntry(object.name(), decodeEntry(object)));
            }
        }
    }
}
