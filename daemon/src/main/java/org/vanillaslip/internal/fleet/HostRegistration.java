package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Registers this host in the host list, and removes hosts that have been silent for too long. */
public final class HostRegistration {

    private static final Duration RETRY_DELAY = Duration.ofMillis(700);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);

    /** Longer than restarts and partitions; a host that comes back registers itself again. */
    private static final Duration MAX_SILENCE = Duration.ofSeconds(30);

    private final Host mHost;
    private final ObjectStore mStore;
    private final HostCodec mCodec = new HostCodec();
    private final HostView mHosts;
    private final Supplier<Set<String>> mLiveHosts;
    private final BooleanSupplier mRemovesSilentHosts;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<String, Long> mSilentSince = new HashMap<>();
    private long mVersion;
    private boolean mStopped;

    /**
     * Creates a registration that is not started.
     *
     * @param liveHosts hosts from which this host receives messages
     * @param removesSilentHosts whether this host removes hosts that were silent for too long
     */
    public HostRegistration(
            Host host,
            ObjectStore store,
            HostView hosts,
            Supplier<Set<String>> liveHosts,
            BooleanSupplier removesSilentHosts,
            DecisionLoop loop,
            EventLog log) {
        mHost = host;
        mStore = store;
        mHosts = hosts;
        mLiveHosts = liveHosts;
        mRemovesSilentHosts = removesSilentHosts;
        mLoop = loop;
        mLog = log;
    }

    /** Registers this host, with retries until it is listed, and starts to check other hosts. */
    public void start() {
        mLoop.scheduler().schedule(this::register);
        long period = CHECK_INTERVAL.toNanos();
        mLoop.scheduler()
                .schedulePeriodically(this::checkHosts, period, period, TimeUnit.NANOSECONDS);
    }

    /** Registers this host again if the platform's store has lost its entry. */
    public void restore(Set<String> lostHosts) {
        if (lostHosts.contains(mHost.name())) {
            register();
        }
    }

    /** Removes this host from the list, because it shuts down. */
    public Mono<Void> stop() {
        mStopped = true;
        return mStore.delete(PlatformCollections.HOSTS, mHost.name(), mVersion)
                .flatMap(
                        result ->
                                result.isLeft() && result.getLeft() == PlatformFailure.CONFLICT
                                        ? deleteCurrent()
                                        : Mono.just(result))
                .then();
    }

    /** Removes the entry of a restored store, which has another version than this host wrote. */
    private Mono<Either<PlatformFailure, StoredObject>> deleteCurrent() {
        return mStore.read(PlatformCollections.HOSTS, mHost.name())
                .flatMap(
                        found ->
                                found.isLeft()
                                        ? Mono.just(found)
                                        : mStore.delete(
                                                PlatformCollections.HOSTS,
                                                mHost.name(),
                                                found.get().version()));
    }

    private void removeSilentHosts() {
        long now = mLoop.clock().nowNanos();
        mSilentSince.forEach(
                (name, since) -> {
                    if (now - since >= MAX_SILENCE.toNanos()) {
                        remove(name);
                    }
                });
    }

    private void register() {
        if (mStopped) {
            return;
        }
        mStore.create(PlatformCollections.HOSTS, mHost.name(), mCodec.encode(mHost))
                .flatMap(
                        result ->
                                result.isLeft() && result.getLeft() == PlatformFailure.CONFLICT
                                        ? replace()
                                        : Mono.just(result))
                .publishOn(mLoop.scheduler())
                .subscribe(this::handleResult, error -> retryLater(error.toString()));
    }

    private Mono<Either<PlatformFailure, StoredObject>> replace() {
        return mStore.read(PlatformCollections.HOSTS, mHost.name())
                .flatMap(
                        found ->
                                found.isLeft()
                                        ? Mono.just(found)
                                        : mStore.update(
                                                PlatformCollections.HOSTS,
                                                mHost.name(),
                                                found.get().version(),
                                                mCodec.encode(mHost)));
    }

    private void handleResult(Either<PlatformFailure, StoredObject> result) {
        result.peek(stored -> mVersion = stored.version())
                .peekLeft(failure -> retryLater(failure.name()));
    }

    private void retryLater(String cause) {
        mLog.log(FleetEvent.REGISTRATION_FAILED, field("cause", cause));
        mLoop.scheduler().schedule(this::register, RETRY_DELAY.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void checkHosts() {
        long now = mLoop.clock().nowNanos();
        Set<String> liveHosts = mLiveHosts.get();
        mSilentSince
                .keySet()
                .removeIf(
                        name ->
                                liveHosts.contains(name)
                                        || mHosts.hosts().stream()
                                                .noneMatch(host -> host.name().equals(name)));
        mHosts.hosts().stream()
                .map(Host::name)
                .filter(name -> !name.equals(mHost.name()) && !liveHosts.contains(name))
                .forEach(name -> mSilentSince.putIfAbsent(name, now));
        boolean listed = mHosts.hosts().stream().anyMatch(host -> host.name().equals(mHost.name()));
        if (!listed && mVersion > 0 && !mStopped) {
            register();
        }
        if (mRemovesSilentHosts.getAsBoolean()) {
            removeSilentHosts();
        }
    }

    private void remove(String name) {
        mStore.read(PlatformCollections.HOSTS, name)
                .flatMap(
                        found ->
                                found.isLeft()
                                        ? Mono.just(Optional.<StoredObject>empty())
                                        : mStore.delete(
                                                        PlatformCollections.HOSTS,
                                                        name,
                                                        found.get().version())
                                                .thenReturn(Optional.of(found.get())))
                .subscribe(
                        done -> {},
                        error ->
                                mLog.log(
                                        FleetEvent.REGISTRATION_FAILED,
                                        field("host", name),
                                        field("cause", error.toString())));
    }
}
