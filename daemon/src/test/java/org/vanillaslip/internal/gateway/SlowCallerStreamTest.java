package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;
import org.vanillaslip.SlowStart;
import org.vanillaslip.internal.backend.forward.CompletionEvent;
import org.vanillaslip.internal.backend.forward.ModelCall;
import org.vanillaslip.internal.backend.forward.ModelForwarder;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Tests streams whose callers take events more slowly than the engine sends them. */
class SlowCallerStreamTest {

    private static final Duration WAIT = Duration.ofSeconds(20);

    /** Time in which the end of a local connection reaches the other side. */
    private static final Duration CONNECTION_END_DELAY = Duration.ofMillis(500);

    private final FakeEngine mEngine = new FakeEngine();
    private final ModelForwarder mForwarder =
            new ModelForwarder(Schedulers.parallel(), System::nanoTime);

    @AfterEach
    void stopEngine() {
        mEngine.stop();
    }

    /** Guards against losing a token that was received but not taken when a connection broke. */
    @Test
    void deliversATokenThatTheCallerHadNotTakenWhenTheConnectionBroke() throws Exception {
        mEngine.mResponseScripts.add(
                (id, offset) ->
                        FakeEngine.tokenEvents(id, 0, 2)
                                .concatWith(Mono.error(new RuntimeException("connection lost"))));
        mEngine.mResponseScripts.add(FakeEngine.completeResponse(5));
        Caller caller = new Caller();
        mForwarder.streamCompletion(engine(), call(), () -> {}).subscribe(caller);
        caller.request(1);
        assertThat(caller.mFirstToken.await(WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        Mono.delay(CONNECTION_END_DELAY).block();
        caller.requestUnbounded();
        assertThat(caller.mEnd.await(WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        assertThat(caller.mTokens).containsExactly("t0 ", "t1 ", "t2 ", "t3 ", "t4 ", "");
    }

    private BackendServer engine() {
        return new BackendServer(
                "engine-1",
                new FailureDomain("east"),
                mEngine.address(),
                BackendKind.MODEL_ENGINE,
                "quoting",
                "shard-1",
                1,
                1,
                true,
                false,
                new SlowStart(1, 8, Duration.ofMinutes(1)));
    }

    private static ModelCall call() {
        return new ModelCall(
                "id-1", ModelName.parse("edge"), "prompt", 5, RequestClass.INTERACTIVE, true);
    }

    /** Takes one event and, when told so, the others. */
    private static final class Caller extends BaseSubscriber<CompletionEvent> {
        final List<String> mTokens = new CopyOnWriteArrayList<>();
        final CountDownLatch mFirstToken = new CountDownLatch(1);
        final CountDownLatch mEnd = new CountDownLatch(1);

        @Override
        protected void hookOnSubscribe(org.reactivestreams.Subscription subscription) {}

        @Override
        protected void hookOnNext(CompletionEvent event) {
            mTokens.add(event.token());
            mFirstToken.countDown();
        }

        @Override
        protected void hookFinally(reactor.core.publisher.SignalType type) {
            mEnd.countDown();
        }
    }
}
