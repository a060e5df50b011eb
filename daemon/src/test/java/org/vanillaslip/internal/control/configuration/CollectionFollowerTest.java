package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.logging.LogEvent;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against a host that hears of no change any more after one that it cannot apply. */
class CollectionFollowerTest {

    private static final String COLLECTION = "servers";
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final OneCollectionStore mStore = new OneCollectionStore();
    private final FailingListener mListener = new FailingListener();
    private final List<LogEvent> mLogged = new ArrayList<>();

    @Test
    void aListThatTheListenerFailsOnIsReadAgainAndThenWatched() {
        mListener.mFailuresLeft = 1;
        follow();
        run(Duration.ofSeconds(1));
        mStore.change("later");

        assertThat(mListener.mListed).isEqualTo(1);
        assertThat(mListener.mChanged).containsExactly("later");
        assertThat(mLogged).contains(ConfigurationEvent.LISTENER_FAILED);
    }

    /** A change that is delivered again and again would block all changes after it. */
    @Test
    void aChangeThatTheListenerFailsOnIsReplacedByAList() {
        follow();
        run(Duration.ofSeconds(1));
        mListener.mFailuresLeft = 1;
        mStore.change("odd");
        run(Duration.ofSeconds(1));
        mStore.change("later");

        assertThat(mListener.mListed).isEqualTo(2);
        assertThat(mListener.mChanged).containsExactly("later");
    }

    /** Guards against a follower that ends because one call failed in an unusual way. */
    @Test
    void aListThatFailsWithAnExceptionIsReadAgain() {
        mStore.mListFailure = new ArithmeticException("long overflow");
        follow();
        run(Duration.ofSeconds(1));
        mStore.mListFailure = null;
        run(Duration.ofSeconds(1));

        assertThat(mListener.mListed).isEqualTo(1);
    }

    /** The store pays for each list, so a listener that always fails must not cause a flood. */
    @Test
    void listsOfAListenerThatAlwaysFailsAreSpreadOut() {
        mListener.mFailuresLeft = Integer.MAX_VALUE;
        follow();
        run(Duration.ofSeconds(30));

        assertThat(mStore.mLists).isBetween(3, 30);
    }

    /** Guards against a watch that returns the same unreadable answer again and again. */
    @Test
    void aWatchWhoseAnswerIsUnreadableIsReplacedByAList() {
        follow();
        run(Duration.ofSeconds(1));
        mStore.failWatch(PlatformFailure.UNREADABLE);
        run(Duration.ofSeconds(1));
        mStore.change("later");

        assertThat(mListener.mListed).isEqualTo(2);
        assertThat(mListener.mChanged).containsExactly("later");
    }

    /** Guards against a host on a slow link that reads every version that it has missed. */
    @Test
    void aWatchThatIsBehindIsReplacedByAListAtOnce() {
        follow();
        run(Duration.ofSeconds(1));
        mStore.failWatch(PlatformFailure.BEHIND);
        run(Duration.ZERO);

        assertThat(mListener.mListed).isEqualTo(2);
    }

    private void follow() {
        new CollectionFollower(
                        mStore,
                        COLLECTION,
                        mLoop,
                        new Random(1),
                        (event, fields) -> mLogged.add(event),
                        mListener,
                        MAX_RETRY_DELAY)
                .start();
    }

    private void run(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    /** Throws an exception for a number of lists and changes. */
    private static final class FailingListener implements CollectionListener {
        final List<String> mChanged = new ArrayList<>();
        int mFailuresLeft;
        int mListed;

        @Override
        public void listed(ObjectList list) {
            failIfDue();
            mListed++;
        }

        @Override
        public void changed(WatchEvent event) {
            failIfDue();
            mChanged.add(event.object().name());
        }

        private void failIfDue() {
            if (mFailuresLeft > 0) {
                mFailuresLeft--;
                throw new ArithmeticException("long overflow");
            }
        }
    }

    /** Answers lists at once and passes changes on to all watches. */
    private static final class OneCollectionStore implements ObjectStore {
        private Sinks.Many<WatchEvent> mChanges = Sinks.many().multicast().directBestEffort();
        private RuntimeException mListFailure;
        private long mRevision = 1;
        private int mLists;

        void change(String name) {
            ObjectNode spec = JsonNodeFactory.instance.objectNode();
            mChanges.tryEmitNext(
                    new WatchEvent(
                            WatchEventType.MODIFIED,
                            new StoredObject(COLLECTION, name, ++mRevision, spec)));
        }

        void failWatch(PlatformFailure failure) {
            Sinks.Many<WatchEvent> failed = mChanges;
            mChanges = Sinks.many().multicast().directBestEffort();
            failed.tryEmitError(new PlatformException(failure, "failed"));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            mLists++;
            return mListFailure == null
                    ? Mono.just(Either.right(new ObjectList(mRevision, List.of())))
                    : Mono.error(mListFailure);
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return mChanges.asFlux();
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return Mono.just(Either.left(PlatformFailure.NOT_FOUND));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return Mono.just(Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return Mono.just(Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.CONFLICT));
        }
    }
}
