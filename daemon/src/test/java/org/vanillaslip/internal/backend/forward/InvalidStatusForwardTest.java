package org.vanillaslip.internal.backend.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;
import org.vanillaslip.SlowStart;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Guards against statuses that HTTP does not allow in a final response being forwarded. */
class InvalidStatusForwardTest {

    private static final Duration WAIT = Duration.ofSeconds(10);

    private final AtomicInteger mStatus = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final DisposableServer mServer =
            HttpServer.create()
                    .host("127.0.0.1")
                    .port(0)
                    .handle(
                            (request, response) -> {
                                mRequests.incrementAndGet();
                                return response.status(mStatus.get())
                                        .header("X-Request-Id", "r1")
                                        .sendString(Mono.just("{}"));
                            })
                    .bindNow();

    @AfterEach
    void close() {
        mServer.disposeNow();
    }

    /** Guards against a recorded outcome of a call that has no answer. */
    @ParameterizedTest
    @ValueSource(ints = {7, 20, 99, 600, 999, 2000})
    void aCallToAPlainServiceIsBroken(int status) {
        mStatus.set(status);
        ServiceCall call = new ServiceCall("r1", "POST", "/a", "", Map.of(), new byte[0]);
        Mono<ServiceResponse> response =
                new ServiceForwarder(Schedulers.parallel(), 1000)
                        .forward(server(), call, WAIT, () -> {});

        ForwardException failure =
                catchThrowableOfType(ForwardException.class, () -> response.block(WAIT));

        assertThat(failure.kind()).isEqualTo(ForwardFailureKind.BROKEN);
        assertThat(mRequests).hasValue(1);
    }

    /** Guards against a call that an engine may run being taken for one that it refused to run. */
    @ParameterizedTest
    @ValueSource(ints = {7, 20, 99, 600, 999, 2000})
    void aCallToAModelEngineIsBroken(int status) {
        mStatus.set(status);
        ModelCall call =
                new ModelCall(
                        "r1",
                        new ModelName("m", Optional.empty()),
                        "prompt",
                        10,
                        RequestClass.WAITING,
                        false);

        ForwardException failure =
                catchThrowableOfType(
                        ForwardException.class,
                        () ->
                                new ModelForwarder(Schedulers.parallel(), System::nanoTime)
                                        .streamCompletion(server(), call, () -> {})
                                        .blockLast(WAIT));

        assertThat(failure.kind()).isEqualTo(ForwardFailureKind.BROKEN);
    }

    private BackendServer server() {
        return new BackendServer(
                "e",
                new FailureDomain("east"),
                "127.0.0.1:" + mServer.port(),
                BackendKind.PLAIN_SERVICE,
                "p",
                "east-1",
                1000,
                1,
                true,
                false,
                new SlowStart(1, 8, Duration.ofSeconds(1)));
    }
}
