package org.vanillaslip.internal.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.SlowStart;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.OrderAction;
import org.vanillaslip.internal.standins.engine.EngineFaults;
import org.vanillaslip.internal.standins.engine.EngineServer;
import org.vanillaslip.internal.standins.engine.EngineSettings;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Guards against sending an order twice and treating a lost response as a refusal. */
class EngineClientTest {

    private static final Duration WAIT = Duration.ofSeconds(10);

    private final EngineServer mEngine =
            EngineServer.start(EngineSettings.forTests("e"), System::nanoTime);
    private final EngineClient mClient =
            new EngineClient(HttpClient.create(), Duration.ofSeconds(5));

    @AfterEach
    void close() {
        mEngine.close();
    }

    @Test
    void executesAnOrderAndReportsIt() {
        assertThat(send(1, 1, "m")).isEqualTo(OrderOutcome.ACCEPTED);
        EngineStatus status =
                status().repeat()
                        .filter(s -> s.report().models().stream().anyMatch(r -> r.loaded()))
                        .blockFirst(WAIT);
        assertThat(status).isNotNull();
        assertThat(status.report().models().get(0).decision()).isEqualTo(1);
        assertThat(status.report().highestTerm()).isEqualTo(1);
        assertThat(status.load().incarnation()).isEqualTo(mEngine.incarnation());
    }

    @Test
    void refusesAnOrderOfAnOlderTerm() {
        send(1, 2, "m");
        assertThat(send(2, 1, "n")).isEqualTo(OrderOutcome.REFUSED);
        assertThat(status().block(WAIT).report().refusedDecisions()).containsExactly(2L);
    }

    @Test
    void aLostResponseIsUnknownAndTheOrderIsNotSentAgain() {
        mEngine.setFaults(new EngineFaults("orders", 0, 0, false, 0, 0, false, true, 1));
        assertThat(send(1, 1, "m")).isEqualTo(OrderOutcome.UNKNOWN);
        assertThat(mEngine.receivedValues().stream().filter(v -> v.equals("/v1/orders")))
                .hasSize(1);
        assertThat(status().block(WAIT).report().models()).hasSize(1);
    }

    private Mono<EngineStatus> status() {
        return mClient.status(server(), 7).flatMap(Mono::justOrEmpty);
    }

    private OrderOutcome send(long decision, long term, String model) {
        Order order =
                new Order(
                        decision,
                        term,
                        "e",
                        mEngine.incarnation(),
                        OrderAction.LOAD,
                        model,
                        "1",
                        "",
                        "remote");
        return Optional.ofNullable(mClient.sendOrder(server(), order).block(WAIT)).orElseThrow();
    }

    private BackendServer server() {
        return new BackendServer(
                "e",
                new FailureDomain("east"),
                mEngine.address(),
                BackendKind.MODEL_ENGINE,
                "p",
                "east-1",
                1000,
                1,
                true,
                false,
                new SlowStart(1, 8, Duration.ofSeconds(1)));
    }
}
