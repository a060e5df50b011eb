package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.peer.RelaySimulation;

/** Tests when crashes count whose servers are still listed. */
class EndedServersTest {

    private static final String CALL = CallSubject.of("crashing");
    private static final List<String> SERVERS = List.of("a@1", "b@1", "c@1");

    private final RelaySimulation mNetwork = new RelaySimulation(2, 1, 1);
    private final List<String> mQuarantined = new ArrayList<>();
    private final PromptFaultExchange mExchange = newExchange();

    /** Guards against a finding that waits for the next crash after all servers were refused. */
    @Test
    void findsACallWhenConnectionsToAllItsServersAreRefusedAtOnce() {
        loseCallOnEachServer();
        SERVERS.forEach(mExchange::recordServerEnded);
        mNetwork.advanceTime(Duration.ofSeconds(1));

        assertThat(mQuarantined).containsExactly(CALL);
    }

    /** Guards against lost connections that count as crashes of servers that still run. */
    @Test
    void blamesNoCallWhileItsServersAreListedAndNotRefused() {
        loseCallOnEachServer();
        mNetwork.advanceTime(Duration.ofSeconds(10));

        assertThat(mQuarantined).isEmpty();
    }

    private void loseCallOnEachServer() {
        for (String server : SERVERS) {
            boolean sentAfterCrash = mExchange.hasCrashes(CALL);
            mExchange.recordUnanswered(
                    "request",
                    new UnansweredCall(
                            server, "zone of " + server, "call", List.of(CALL), sentAfterCrash));
            mNetwork.advanceTime(Duration.ofMillis(90));
        }
    }

    private PromptFaultExchange newExchange() {
        PromptFaultExchange exchange =
                new PromptFaultExchange(
                        mNetwork.hosts().get(0).relayedLinks(),
                        new QuarantineRecord(
                                new OneObjectStore(),
                                () -> Instant.EPOCH,
                                mNetwork.loop(),
                                (event, fields) -> {}),
                        server -> Optional.of("zone of " + server),
                        mNetwork.loop(),
                        new SplittableRandom(1),
                        (event, fields) -> {});
        exchange.onQuarantine((subject, refusal) -> mQuarantined.add(subject));
        exchange.start();
        return exchange;
    }
}
