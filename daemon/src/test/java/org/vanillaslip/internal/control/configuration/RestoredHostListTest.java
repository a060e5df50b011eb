package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against hosts that take each other for gone because the store has lost their entries. */
class RestoredHostListTest {

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final ScriptedStore mStore = new ScriptedStore();
    private final HostListWatcher mHosts =
            new HostListWatcher(
                    mStore,
                    new HostCodec(),
                    new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS)),
                    new Random(1),
                    (event, fields) -> {});
    private final List<String> mLost = new ArrayList<>();

    @Test
    void aHostThatRegistersAgainStaysListed() {
        start();
        restore("a");
        assertThat(names()).containsExactly("a", "b");
        assertThat(mLost).containsExactly("b");
        mStore.mChanges.tryEmitNext(new WatchEvent(WatchEventType.ADDED, host("b", 2, 41)));
        mScheduler.advanceTimeBy(Duration.ofSeconds(5));

        assertThat(names()).containsExactly("a", "b");
    }

    @Test
    void aHostThatDoesNotRegisterAgainIsRemoved() {
        start();
        restore("a");
        mScheduler.advanceTimeBy(Duration.ofSeconds(5));

        assertThat(names()).containsExactly("a");
    }

    private void start() {
        mStore.list(1, 90, "a", "b");
        mHosts.onLost(mLost::addAll);
        mHosts.start();
        mScheduler.advanceTimeBy(Duration.ofMillis(10));
        assertThat(names()).containsExactly("a", "b");
    }

    private void restore(String... hosts) {
        mStore.list(2, 40, hosts);
        Sinks.Many<WatchEvent> watch = mStore.mChanges;
        mStore.mChanges = Sinks.many().multicast().directBestEffort();
        watch.tryEmitError(new PlatformException(PlatformFailure.GONE, "restored"));
        mScheduler.advanceTimeBy(Duration.ofMillis(400));
    }

    private List<String> names() {
        return mHosts.hosts().stream().map(Host::name).toList();
    }

    private static StoredObject host(String name, long era, long revision) {
        Host host = new Host(name, new FailureDomain("d"), "127.0.0.1:1", false);
        return new StoredObject(
                "hosts", name, StoreVersion.of(era, revision), new HostCodec().encode(host));
    }

    /** A store whose list and changes the test sets. */
    private static final class ScriptedStore implements ObjectStore {
        private Sinks.Many<WatchEvent> mChanges = Sinks.many().multicast().directBestEffort();
        private ObjectList mList = new ObjectList(0, List.of());

        private void list(long era, long revision, String... hosts) {
            mList =
                    new ObjectList(
                            StoreVersion.of(era, revision),
                            Stream.of(hosts).map(name -> host(name, era, 30)).toList());
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return Mono.fromSupplier(() -> Either.right(mList));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return Flux.defer(() -> mChanges.asFlux());
        }
    }
}
