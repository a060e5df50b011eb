package org.vanillaslip.internal.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.platform.PlatformFailure.CONFLICT;
import static org.vanillaslip.internal.platform.PlatformFailure.GONE;
import static org.vanillaslip.internal.platform.PlatformFailure.NOT_FOUND;
import static org.vanillaslip.internal.platform.PlatformFailure.OUTCOME_UNKNOWN;
import static org.vanillaslip.internal.platform.PlatformFailure.THROTTLED;
import static org.vanillaslip.internal.platform.PlatformFailure.UNAVAILABLE;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelOption;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.BudgetedObjectStore;
import org.vanillaslip.internal.platform.CallBudget;
import org.vanillaslip.internal.platform.HttpObjectStore;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.tcp.TcpServer;
import reactor.test.StepVerifier;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Guards against wrong results about whether a call took effect, and against watches that never
 * fail when events stop.
 */
class HttpObjectStoreTest {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

    private final ObjectStorage mStorage = new ObjectStorage(3);
    private final PlatformFaults mFaults = new PlatformFaults();
    private final CallCounts mCounts = new CallCounts();
    private final ObjectJsonCodec mCodec = new ObjectJsonCodec(new ObjectMapper());
    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private DisposableServer mServer;
    private HttpObjectStore mStore;

    @BeforeEach
    void start() {
        mServer = new PlatformHttpServer(mStorage, mFaults, mCounts, mCodec).bind(0).block();
        mStore = store("north");
    }

    @AfterEach
    void stop() {
        mServer.disposeNow();
    }

    @Test
    void transfersANameWithASlashUnchanged() {
        StoredObject created = await(mStore.create("c", "route./quotes/a b", spec(1))).get();
        assertThat(await(mStore.read("c", "route./quotes/a b"))).isEqualTo(Either.right(created));
        assertThat(await(mStore.list("c")).get().objects()).containsExactly(created);
    }

    @Test
    void refusesAChangeWithAnOutdatedVersion() {
        StoredObject first = await(mStore.create("c", "a", spec(1))).get();
        await(mStore.update("c", "a", first.version(), spec(2)));
        assertThat(await(mStore.update("c", "a", first.version(), spec(3))).getLeft())
                .isEqualTo(CONFLICT);
        assertThat(await(mStore.create("c", "a", spec(3))).getLeft()).isEqualTo(CONFLICT);
        assertThat(await(mStore.delete("c", "a", first.version())).getLeft()).isEqualTo(CONFLICT);
        assertThat(await(mStore.read("c", "b")).getLeft()).isEqualTo(NOT_FOUND);
    }

    @Test
    void aWriteWithoutAResponseHasAnUnknownOutcomeAndIsNotRepeated() {
        mFaults.setLostWriteAnswers(1);
        assertThat(await(mStore.create("c", "a", spec(1))).getLeft()).isEqualTo(OUTCOME_UNKNOWN);
        assertThat(mCounts.of(CallKind.CREATE)).isEqualTo(1);
        assertThat(await(mStore.read("c", "a")).isRight()).isTrue();
    }

    @Test
    void aWriteThatTimesOutHasAnUnknownOutcome() throws Exception {
        mFaults.setLatency(Duration.ofMinutes(1));
        BlockingQueue<Object> results = new LinkedBlockingQueue<>();
        mStore.create("c", "a", spec(1)).subscribe(results::add);
        // Waits until the platform has applied the change before the caller's time advances.
        mStorage.watch("c", 0).blockFirst(Duration.ofSeconds(10));
        mScheduler.advanceTimeBy(RESPONSE_TIMEOUT);
        assertThat(results.poll(10, TimeUnit.SECONDS)).isEqualTo(Either.left(OUTCOME_UNKNOWN));
    }

    @Test
    void aWriteIsNotRepeatedWhenItsConnectionIsReset() {
        AtomicInteger requests = new AtomicInteger();
        DisposableServer resetting =
                TcpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        // Closes with a reset, after which an HTTP client may retry on its own.
                        .childOption(ChannelOption.SO_LINGER, 0)
                        .handle(
                                (in, out) ->
                                        in.receive()
                                                .take(1)
                                                .doOnNext(received -> requests.incrementAndGet())
                                                .then())
                        .bindNow();
        try {
            assertThat(await(storeAt(resetting, "north").create("c", "a", spec(1))).getLeft())
                    .isEqualTo(OUTCOME_UNKNOWN);
            assertThat(requests).hasValue(1);
        } finally {
            resetting.disposeNow();
        }
    }

    @Test
    void aRefusedConnectionIsUnavailable() {
        mServer.disposeNow();
        assertThat(await(mStore.create("c", "a", spec(1))).getLeft()).isEqualTo(UNAVAILABLE);
        assertThat(await(mStore.list("c")).getLeft()).isEqualTo(UNAVAILABLE);
    }

    @Test
    void onlyTheRefusedFailureDomainIsUnreachable() {
        mFaults.setRefusedFailureDomains(Set.of("north"));
        assertThat(await(mStore.list("c")).getLeft()).isEqualTo(UNAVAILABLE);
        assertThat(await(store("south").list("c")).isRight()).isTrue();
    }

    @Test
    void aWatchEmitsTheChangesAfterItsStartVersion() {
        StoredObject first = await(mStore.create("c", "a", spec(1))).get();
        StoredObject second = await(mStore.update("c", "a", first.version(), spec(2))).get();
        StepVerifier.create(mStore.watch("c", first.version()).map(event -> event.object()))
                .expectNext(second)
                .then(() -> mStorage.create("c", "b", spec(3)))
                .assertNext(object -> assertThat(object.name()).isEqualTo("b"))
                .thenCancel()
                .verify(Duration.ofSeconds(10));
    }

    @Test
    void aWatchFromADiscardedVersionIsGone() {
        for (int number = 0; number < 5; number++) {
            mStorage.create("c", "object-" + number, spec(number));
        }
        StepVerifier.create(mStore.watch("c", 1))
                .expectErrorMatches(cause -> ((PlatformException) cause).failure() == GONE)
                .verify(Duration.ofSeconds(10));
    }

    @Test
    void aWatchFailsAfterSevenSecondsWithoutEventsButNotBefore() throws Exception {
        BlockingQueue<Object> signals = new LinkedBlockingQueue<>();
        Disposable watch = mStore.watch("c", 0).subscribe(signals::add, signals::add);
        mScheduler.advanceTimeBy(Duration.ofMillis(6_900));
        assertThat(signals).isEmpty();
        assertThat(watch.isDisposed()).isFalse();
        mScheduler.advanceTimeBy(Duration.ofMillis(100));
        assertThat(signals.poll(10, TimeUnit.SECONDS)).isInstanceOf(PlatformException.class);
    }

    @Test
    void makesNoCallBeforeTheRetryAfterOfAThrottledCall() {
        CallBudget budget = new CallBudget(() -> mScheduler.now(TimeUnit.NANOSECONDS), 20, 20, 5);
        String url = "http://127.0.0.1:" + mServer.port();
        ObjectStore store =
                new BudgetedObjectStore(
                        new HttpObjectStore(
                                HttpClient.create(),
                                url,
                                "n",
                                mCodec,
                                RESPONSE_TIMEOUT,
                                mScheduler,
                                budget::pause,
                                fault -> {}),
                        budget);
        assertThat(post("/faults", "{\"throttledCalls\":1,\"retryAfterSeconds\":3}"))
                .isEqualTo(200);
        assertThat(await(store.list("c")).getLeft()).isEqualTo(THROTTLED);
        mScheduler.advanceTimeBy(Duration.ofMillis(2_999));
        assertThat(await(store.list("c")).getLeft()).isEqualTo(THROTTLED);
        StepVerifier.create(store.watch("c", 0)).expectError().verify(Duration.ofSeconds(10));
        assertThat(mCounts.of(CallKind.LIST)).isEqualTo(1);
        assertThat(mCounts.of(CallKind.WATCH)).isZero();
        mScheduler.advanceTimeBy(Duration.ofMillis(1));
        assertThat(await(store.list("c")).isRight()).isTrue();

        mFaults.setThrottledCalls(1, Duration.ofSeconds(2));
        StepVerifier.create(store.watch("c", 0)).expectError().verify(Duration.ofSeconds(10));
        assertThat(await(store.list("c")).getLeft()).isEqualTo(THROTTLED);
    }

    @Test
    void faultsAreSetOverHttp() {
        String body = "{\"outage\":true,\"refusedFailureDomains\":[]}";
        assertThat(post("/faults", body)).isEqualTo(200);
        assertThat(await(mStore.list("c")).getLeft()).isEqualTo(UNAVAILABLE);
        assertThat(post("/faults", "{\"outages\":true}")).isEqualTo(400);
    }

    private int post(String path, String body) {
        return HttpClient.create()
                .post()
                .uri("http://127.0.0.1:" + mServer.port() + path)
                .send(ByteBufFlux.fromString(Mono.just(body)))
                .response()
                .block(Duration.ofSeconds(10))
                .status()
                .code();
    }

    private HttpObjectStore store(String failureDomain) {
        return storeAt(mServer, failureDomain);
    }

    private HttpObjectStore storeAt(DisposableServer server, String failureDomain) {
        String url = "http://127.0.0.1:" + server.port();
        return new HttpObjectStore(
                HttpClient.create(), url, failureDomain, mCodec, RESPONSE_TIMEOUT, mScheduler);
    }

    private static ObjectNode spec(int value) {
        return JsonNodeFactory.instance.objectNode().put("value", value);
    }

    private static <T> T await(Mono<T> call) {
        return call.block(Duration.ofSeconds(10));
    }
}
