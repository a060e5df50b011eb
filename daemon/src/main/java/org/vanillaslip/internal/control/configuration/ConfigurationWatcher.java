package org.vanillaslip.internal.control.configuration;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.vanillaslip.Configuration;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.ConfigurationState;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.configuration.UnreadableItem;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Keeps this host's configuration up to date with the platform and with items from peers. */
public final class ConfigurationWatcher implements ConfigurationView {

    private static final Duration UNKNOWN_AGE = Duration.ofNanos(Long.MAX_VALUE);

    private final ConfigurationCodec mCodec;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final CollectionFollower mFollower;
    private final Sinks.Many<Configuration> mChanges = Sinks.many().multicast().directBestEffort();
    private volatile ConfigurationState mState = ConfigurationState.empty();
    private volatile Optional<Long> mConfirmedAtNanos = Optional.empty();

    /** Creates a watcher that has no configuration until it is started. */
    public ConfigurationWatcher(
            ObjectStore store,
            ConfigurationCodec codec,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log) {
        mCodec = codec;
        mLoop = loop;
        mLog = log;
        mFollower =
                new CollectionFollower(
                        store,
                        PlatformCollections.CONFIGURATION,
                        loop,
                        random,
                        log,
                        new PlatformListener());
    }

    /** Starts following the platform; the returned handle stops it. */
    public Disposable start() {
        return mFollower.start();
    }

    @Override
    public Optional<Configuration> current() {
        return mState.current();
    }

    @Override
    public Flux<Configuration> changes() {
        // A slow subscriber receives only the newest snapshot and does not delay the others.
        return mChanges.asFlux().onBackpressureLatest();
    }

    /**
     * Returns the time since the platform last confirmed the snapshot, or the maximum duration if
     * it never did.
     */
    @Override
    public Duration age() {
        return mConfirmedAtNanos
                .map(confirmed -> Duration.ofNanos(mLoop.clock().nowNanos() - confirmed))
                .orElse(UNKNOWN_AGE);
    }

    @Override
    public List<Fault> faults() {
        return mState.faults();
    }

    /** Returns the highest version among the known items. */
    public long version() {
        return mState.version();
    }

    /** Returns the items with a higher version than the given one, oldest first. */
    List<VersionedItem> itemsNewerThan(long version) {
        return mState.newerThan(version);
    }

    /** Merges items from a peer; must be called on the decision loop. */
    void mergeFromPeer(Collection<VersionedItem> items) {
        replaceState(mState.merge(items));
    }

    private void replaceState(ConfigurationState state) {
        ConfigurationState previous = mState;
        mState = state;
        if (!state.faults().isEmpty() && !state.faults().equals(previous.faults())) {
            mLog.log(ConfigurationEvent.ITEMS_REFUSED, field("faults", state.faults()));
        }
        if (!state.current().equals(previous.current())) {
            state.current().ifPresent(this::publishSnapshot);
        }
    }

    private void publishSnapshot(Configuration configuration) {
        mLog.log(ConfigurationEvent.SNAPSHOT_IN_FORCE, field("version", configuration.version()));
        mChanges.tryEmitNext(configuration);
    }

    private ConfigurationState mergeObjects(List<StoredObject> objects) {
        List<VersionedItem> items = new ArrayList<>();
        List<UnreadableItem> unreadable = new ArrayList<>();
        for (StoredObject object : objects) {
            mCodec.decode(object)
                    .peek(items::add)
                    .peekLeft(faults -> unreadable.add(unreadableItem(object, faults)));
        }
        return mState.merge(items, unreadable);
    }

    private static UnreadableItem unreadableItem(StoredObject object, List<Fault> faults) {
        return new UnreadableItem(object.name(), object.version(), faults);
    }

    private void recordConfirmation() {
        mConfirmedAtNanos = Optional.of(mLoop.clock().nowNanos());
    }

    /** Applies the lists and events of the platform. */
    private final class PlatformListener implements CollectionListener {

        @Override
        public void listed(ObjectList list) {
            Set<String> names =
                    list.objects().stream().map(StoredObject::name).collect(Collectors.toSet());
            recordConfirmation();
            replaceState(mergeObjects(list.objects()).removeUnlisted(names, list.version()));
        }

        @Override
        public void changed(WatchEvent event) {
            StoredObject object = event.object();
            recordConfirmation();
            if (event.type() == WatchEventType.DELETED) {
                replaceState(mState.remove(object.name(), object.version()));
            } else if (event.type() != WatchEventType.BOOKMARK) {
                replaceState(mergeObjects(List.of(object)));
            }
        }
    }
}
