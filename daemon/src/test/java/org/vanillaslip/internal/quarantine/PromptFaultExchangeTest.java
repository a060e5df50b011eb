package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.peer.FakePeerNetwork;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;

/** Guards against a prompt part that crashes servers through one host after the other. */
class PromptFaultExchangeTest {

    private static final int SEEDS = 20;

    /** Bound of the platform for calls with the part, from the fifth crash. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final int MAX_LATER_SENDS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(10);

    /** Guards against hosts that each see too few crashes to find the part. */
    @ParameterizedTest(name = "{0} hosts, a crashing call every {2} ms")
    @CsvSource({"6,3,700", "8,4,150", "20,3,1500", "66,3,700"})
    void allHostsKeepACrashingPartFromTheServers(int hosts, int domains, long intervalMillis) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(hosts, domains, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.advance(WARM_UP);
            simulation.startCrashingCalls(Duration.ofMillis(intervalMillis));
            simulation.advance(Duration.ofSeconds(40));

            assertThat(simulation.quarantinedParts())
                    .as("seed %d", seed)
                    .containsExactly(CrashSimulation.CRASHING_PART);
            assertThat(simulation.informedHosts()).as("seed %d", seed).isEqualTo(hosts);
            assertThat(simulation.crashingSendsAfterFifthCrash(CONTACT_TIME))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(MAX_LATER_SENDS);
            assertThat(simulation.soundCallsRefused()).as("seed %d", seed).isZero();
            assertThat(simulation.storeWrites()).as("seed %d", seed).isEqualTo(1);
        }
    }

    /** Guards against sound parts that are kept from servers because servers crash. */
    @Test
    void crashesForOtherReasonsBlameNoPart() {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(8, 4, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.advance(WARM_UP);
            simulation.startRandomCrashes(Duration.ofMillis(1300));
            simulation.advance(Duration.ofSeconds(15));
            simulation.crashAllServers();
            simulation.advance(Duration.ofSeconds(15));

            assertThat(simulation.crashCount()).isGreaterThan(10);
            assertThat(simulation.quarantinedParts()).as("seed %d", seed).isEmpty();
        }
    }

    /** Guards against a host that has just started and sends a known part to the servers again. */
    @Test
    void aHostLearnsOfKnownPartsFromHeartbeats() {
        FakePeerNetwork network = new FakePeerNetwork(1);
        PeerLinks informedLinks = network.addHost("informed");
        PromptFaultExchange informed = newExchange(network, informedLinks);
        PromptFaultExchange started = newExchange(network, network.addHost("started"));
        List<String> parts = List.of("shared", "bad");
        crashServers(network, informed, parts);
        assertThatThrownBy(() -> informed.checkParts(parts)).isInstanceOf(RefusedException.class);
        started.start();
        started.checkParts(parts);

        informedLinks.send(
                "started",
                Envelope.newBuilder()
                        .setHeartbeat(
                                Heartbeat.newBuilder()
                                        .addAllQuarantinedParts(informed.quarantinedParts())));
        network.advanceTime(Duration.ofMillis(10));

        assertThatThrownBy(() -> started.checkParts(parts)).isInstanceOf(RefusedException.class);
    }

    /** Guards against a known part that is sent again after all hosts have lost their power. */
    @Test
    void aHostThatStartsAloneLearnsOfKnownPartsFromTheStore() {
        FakePeerNetwork network = new FakePeerNetwork(4);
        OneObjectStore store = new OneObjectStore();
        PromptFaultExchange before = newExchange(network, network.addHost("before"), store);
        List<String> parts = List.of("bad");
        store.setUnavailable(true);
        crashServers(network, before, parts);
        store.setUnavailable(false);
        network.advanceTime(Duration.ofSeconds(1));
        assertThat(store.writeCount()).isEqualTo(1);
        store.setUnavailable(true);

        PromptFaultExchange after = newExchange(network, network.addHost("after"), store);
        after.start();
        after.checkParts(parts);
        store.setUnavailable(false);
        network.advanceTime(Duration.ofSeconds(1));

        assertThatThrownBy(() -> after.checkParts(parts)).isInstanceOf(RefusedException.class);
    }

    /** Guards against a quarantine that a starting host takes from the store after its end. */
    @Test
    void aHostDoesNotTakeUpAnEndedQuarantine() {
        FakePeerNetwork network = new FakePeerNetwork(5);
        OneObjectStore store = new OneObjectStore();
        PromptFaultExchange before = newExchange(network, network.addHost("before"), store);
        List<String> parts = List.of("bad");
        crashServers(network, before, parts);
        assertThat(store.writeCount()).isEqualTo(1);
        network.advanceTime(PromptFaultExchange.QUARANTINE_TIME);

        PromptFaultExchange after = newExchange(network, network.addHost("after"), store);
        after.start();
        network.advanceTime(Duration.ofSeconds(1));

        after.checkParts(parts);
        assertThat(after.quarantinedParts()).isEmpty();
    }

    /** Guards against a part that is kept from the servers for ever. */
    @Test
    void callsWithThePartAreSentAgainAfterTheQuarantine() {
        FakePeerNetwork network = new FakePeerNetwork(2);
        PromptFaultExchange exchange = newExchange(network, network.addHost("h"));
        List<String> parts = List.of("bad");
        crashServers(network, exchange, parts);
        assertThatThrownBy(() -> exchange.checkParts(parts)).isInstanceOf(RefusedException.class);

        network.advanceTime(PromptFaultExchange.QUARANTINE_TIME);

        exchange.checkParts(parts);
        assertThat(exchange.quarantinedParts()).isEmpty();
    }

    /** Guards against callers that fill the memory of all hosts with long ids. */
    @Test
    void longIdsAreNotTracked() {
        FakePeerNetwork network = new FakePeerNetwork(3);
        PromptFaultExchange exchange = newExchange(network, network.addHost("h"));
        List<String> parts = List.of("a".repeat(129));
        crashServers(network, exchange, parts);

        exchange.checkParts(parts);
        assertThat(exchange.quarantinedParts()).isEmpty();
    }

    private static void crashServers(
            FakePeerNetwork network, PromptFaultExchange exchange, List<String> parts) {
        for (int server = 0; server < 3; server++) {
            exchange.recordUnanswered(
                    "c" + server, new UnansweredCall("s" + server, "", "c" + server, parts, false));
            network.advanceTime(Duration.ofSeconds(1));
        }
    }

    private static PromptFaultExchange newExchange(FakePeerNetwork network, PeerLinks links) {
        return newExchange(network, links, new OneObjectStore());
    }

    private static PromptFaultExchange newExchange(
            FakePeerNetwork network, PeerLinks links, OneObjectStore store) {
        QuarantineRecord record =
                new QuarantineRecord(
                        store,
                        () -> Instant.EPOCH.plusNanos(network.loop().clock().nowNanos()),
                        network.loop(),
                        (event, fields) -> {});
        return new PromptFaultExchange(
                links,
                record,
                server -> Optional.empty(),
                network.loop(),
                new SplittableRandom(1),
                (event, fields) -> {});
    }
}
