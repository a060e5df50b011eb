package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests a host that watches four collections while the platform's store resets its calls. */
class HealthTrackingObjectStoreTest {

    private static final List<String> COLLECTIONS =
            List.of("config", "servers", "evacuations", "hosts");
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);
    private static final Duration EVENT_INTERVAL = Duration.ofSeconds(1);

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final RandomGenerator mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
    private final ResettingStore mPlatform = new ResettingStore();
    private final HealthTrackingObjectStore mStore =
            new HealthTrackingObjectStore(
                    mPlatform, new StoreAnswerHistory(), mLoop, (event, fields) -> {});

    /** Guards against hosts that overload a failing store with retries for each collection. */
    @Test
    void sendsAtMostFourCallsASecondDuringAnOutage() {
        follow();
        run(Duration.ofSeconds(5));
        mPlatform.mUnavailable = true;
        run(Duration.ofSeconds(1));
        int before = mPlatform.mCalls;
        run(Duration.ofSeconds(9));

        assertThat(mPlatform.mCalls - before).isLessThanOrEqualTo(4 * 9);
    }

    /** Guards against collections that wait for each other after an outage. */
    @Test
    void watchesAllCollectionsSoonAfterAnOutage() {
        for (int round = 0; round < 20; round++) {
            mPlatform.mUnavailable = false;
            follow();
            run(Duration.ofSeconds(5));
            mPlatform.mUnavailable = true;
            run(Duration.ofMillis(2000 + 37 * round));
            mPlatform.mUnavailable = false;
            mPlatform.mWatchedAt.clear();
            long recovered = now();
            run(Duration.ofMillis(800));

            assertThat(mPlatform.mWatchedAt).containsOnlyKeys(COLLECTIONS);
            // The longest retry delay of a collection, and the interval of probes.
            assertThat(mPlatform.mWatchedAt.values())
                    .allMatch(
                            at ->
                                    at - recovered
                                            <= 400
                                                    + 250
                                                    + 2 * ResettingStore.RESPONSE_DELAY_MILLIS);
        }
    }

    private void follow() {
        CollectionListener listener =
                new CollectionListener() {
                    @Override
                    public void listed(ObjectList list) {}

                    @Override
                    public void changed(WatchEvent event) {}
                };
        COLLECTIONS.forEach(
                collection ->
                        new CollectionFollower(
                                        mStore,
                                        collection,
                                        mLoop,
                                        mRandom,
                                        (event, fields) -> {},
                                        listener,
                                        MAX_RETRY_DELAY)
                                .start());
    }

    private void run(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    private long now() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Responds after a short delay, or resets every call. */
    private final class ResettingStore implements ObjectStore {

        static final long RESPONSE_DELAY_MILLIS = 4;

        final Map<String, Long> mWatchedAt = new HashMap<>();
        boolean mUnavailable;
        int mCalls;

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return respond(Either.left(PlatformFailure.NOT_FOUND));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return respond(Either.right(new ObjectList(1, List.of())));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return respond(Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return respond(Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return respond(Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return afterResponseDelay()
                    .flatMapMany(
                            tick -> {
                                mCalls++;
                                if (mUnavailable) {
                                    return Flux.error(connectionReset());
                                }
                                mWatchedAt.putIfAbsent(collection, now());
                                return Flux.interval(EVENT_INTERVAL, mScheduler)
                                        .concatMap(
                                                wait ->
                                                        mUnavailable
                                                                ? Flux.error(connectionReset())
                                                                : Flux.<WatchEvent>empty());
                            });
        }

        private <T> Mono<Either<PlatformFailure, T>> respond(Either<PlatformFailure, T> result) {
            return afterResponseDelay()
                    .map(
                            tick -> {
                                mCalls++;
                                return mUnavailable
                                        ? Either.left(PlatformFailure.UNAVAILABLE)
                                        : result;
                            });
        }

        private Mono<Long> afterResponseDelay() {
            return Mono.delay(Duration.ofMillis(RESPONSE_DELAY_MILLIS), mScheduler);
        }

        private PlatformException connectionReset() {
            return new PlatformException(PlatformFailure.UNAVAILABLE, "reset");
        }
    }
}
