package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.membership.RelayRoles;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Guards against messages that do not reach all hosts, since each host has only a few links. */
class RelayedLinksTest {

    /** Links that were opened while the host list was incomplete are closed after 10 s. */
    private static final Duration STARTUP_TIME = Duration.ofSeconds(14);

    /** One batching interval per hop, far above the delays of the links. */
    private static final Duration DELIVERY_TIME = Duration.ofMillis(50);

    /**
     * Three missed heartbeats, a tick that updates the roles, a new link, and a membership message.
     */
    private static final Duration RECOVERY_TIME = Duration.ofMillis(7500);

    @ParameterizedTest
    @CsvSource({"6, 3", "8, 4", "30, 5", "95, 5", "300, 7"})
    void aBroadcastReachesAllHostsOverFewLinks(int hosts, int domains) {
        RelaySimulation simulation = new RelaySimulation(hosts, domains, 1);
        simulation.advanceTime(STARTUP_TIME);

        assertThat(simulation.hostsReachedByBroadcast(simulation.hosts().get(0), DELIVERY_TIME))
                .containsExactlyInAnyOrderElementsOf(
                        otherHosts(simulation, simulation.hosts().get(0)));
        for (RelaySimulation.SimulatedHost host : simulation.hosts()) {
            int expected =
                    host.network().isRelay()
                            ? hosts / domains + 1 + 2 * domains
                            : RelayRoles.RELAYS_PER_DOMAIN;
            assertThat(simulation.linkCount(host)).as(host.name()).isLessThanOrEqualTo(expected);
        }
    }

    /** Guards against message counts that grow with the square of the number of hosts. */
    @Test
    void messagesOfAnIdleHostDoNotGrowWithTheNumberOfHosts() {
        assertThat(messagesPerHostAndSecond(300)).isLessThan(1.3 * messagesPerHostAndSecond(100));
    }

    @Test
    void crashedRelaysAreReplaced() {
        RelaySimulation simulation = new RelaySimulation(95, 5, 2);
        simulation.advanceTime(STARTUP_TIME);
        RelaySimulation.SimulatedHost sender = firstNonRelay(simulation);
        simulation.crash(simulation.relays().get(0));
        simulation.crash(simulation.relays().get(3));
        simulation.advanceTime(RECOVERY_TIME);

        assertThat(simulation.relays()).hasSize(10);
        assertThat(simulation.hostsReachedByBroadcast(sender, DELIVERY_TIME))
                .containsExactlyInAnyOrderElementsOf(otherHosts(simulation, sender));
    }

    /** Guards against a host that keeps using relays whose links are open but silent. */
    @Test
    void replacesBothRelaysOfADomainWhenTheyAreSuspendedTogether() {
        RelaySimulation simulation = new RelaySimulation(95, 5, 3);
        simulation.advanceTime(STARTUP_TIME);
        RelaySimulation.SimulatedHost sender = firstNonRelay(simulation);
        simulation.relays().stream()
                .filter(relay -> relay.domain().equals(sender.domain()))
                .forEach(simulation::suspend);
        simulation.advanceTime(RECOVERY_TIME);

        assertThat(simulation.hostsReachedByBroadcast(sender, DELIVERY_TIME))
                .containsExactlyInAnyOrderElementsOf(otherHosts(simulation, sender));
    }

    @Test
    void aMessageToOneHostTravelsBetweenHostsThatAreNotRelays() {
        RelaySimulation simulation = new RelaySimulation(95, 5, 4);
        simulation.advanceTime(STARTUP_TIME);
        RelaySimulation.SimulatedHost receiver = firstNonRelay(simulation);
        Set<String> senders = new TreeSet<>();
        receiver.relayedLinks()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            senders.add(message.getSender());
                            return Mono.empty();
                        });
        simulation.advanceTime(DELIVERY_TIME);
        simulation
                .hosts()
                .forEach(
                        host ->
                                host.relayedLinks()
                                        .send(
                                                receiver.name(),
                                                Envelope.newBuilder()
                                                        .setDemandReport(
                                                                DemandReport
                                                                        .getDefaultInstance())));
        simulation.advanceTime(DELIVERY_TIME);

        assertThat(senders).containsExactlyInAnyOrderElementsOf(otherHosts(simulation, receiver));
    }

    /** Two domains cannot reach each other, but the third one reaches both. */
    @Test
    void aMessageToOneHostIsReroutedAroundABrokenPath() {
        RelaySimulation simulation = new RelaySimulation(30, 3, 5);
        simulation.advanceTime(STARTUP_TIME);
        simulation.setReachability(
                (first, second) ->
                        first.domain().equals(second.domain())
                                || first.domain().name().equals("d2")
                                || second.domain().name().equals("d2"));
        simulation.advanceTime(RECOVERY_TIME);
        RelaySimulation.SimulatedHost receiver = firstNonRelay(simulation, "d1");
        Set<String> senders = new TreeSet<>();
        receiver.relayedLinks()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            senders.add(message.getSender());
                            return Mono.empty();
                        });
        simulation.advanceTime(DELIVERY_TIME);
        RelaySimulation.SimulatedHost sender = firstNonRelay(simulation, "d0");
        sender.relayedLinks()
                .send(
                        receiver.name(),
                        Envelope.newBuilder().setDemandReport(DemandReport.getDefaultInstance()));
        simulation.advanceTime(DELIVERY_TIME);

        assertThat(senders).containsExactly(sender.name());
    }

    @Test
    void anIsolatedDomainStaysConnectedInternally() {
        RelaySimulation simulation = new RelaySimulation(30, 3, 6);
        simulation.advanceTime(STARTUP_TIME);
        simulation.setReachability(
                (first, second) ->
                        first.domain().name().equals("d0") == second.domain().name().equals("d0"));
        simulation.advanceTime(RECOVERY_TIME);
        RelaySimulation.SimulatedHost sender = firstNonRelay(simulation, "d0");

        assertThat(simulation.hostsReachedByBroadcast(sender, DELIVERY_TIME))
                .containsExactlyInAnyOrderElementsOf(
                        otherHosts(simulation, sender).stream()
                                .filter(name -> domainOf(simulation, name).equals("d0"))
                                .toList());
        simulation.setReachability((first, second) -> true);
        simulation.advanceTime(RECOVERY_TIME);
        assertThat(simulation.hostsReachedByBroadcast(sender, DELIVERY_TIME))
                .containsExactlyInAnyOrderElementsOf(otherHosts(simulation, sender));
    }

    @Test
    void aBroadcastReachesANewHostWithinThreeSeconds() {
        RelaySimulation simulation = new RelaySimulation(30, 5, 7);
        simulation.advanceTime(STARTUP_TIME);
        RelaySimulation.SimulatedHost added = simulation.addHost("h999", "d2");
        simulation.advanceTime(Duration.ofSeconds(3));

        assertThat(simulation.hostsReachedByBroadcast(simulation.hosts().get(0), DELIVERY_TIME))
                .contains(added.name());
    }

    private static double messagesPerHostAndSecond(int hosts) {
        RelaySimulation simulation = new RelaySimulation(hosts, 5, 1);
        simulation.advanceTime(STARTUP_TIME);
        long before = simulation.messageCount();
        simulation.advanceTime(Duration.ofSeconds(12));
        return (simulation.messageCount() - before) / 12.0 / hosts;
    }

    private static RelaySimulation.SimulatedHost firstNonRelay(RelaySimulation simulation) {
        return simulation.runningHosts().stream()
                .filter(host -> !host.network().isRelay())
                .findFirst()
                .orElseThrow();
    }

    private static RelaySimulation.SimulatedHost firstNonRelay(
            RelaySimulation simulation, String domain) {
        return simulation.runningHosts().stream()
                .filter(host -> !host.network().isRelay())
                .filter(host -> host.domain().name().equals(domain))
                .findFirst()
                .orElseThrow();
    }

    private static String domainOf(RelaySimulation simulation, String name) {
        return simulation.hosts().stream()
                .filter(host -> host.name().equals(name))
                .map(host -> host.domain().name())
                .findFirst()
                .orElseThrow();
    }

    private static Set<String> otherHosts(
            RelaySimulation simulation, RelaySimulation.SimulatedHost host) {
        return simulation.runningHosts().stream()
                .map(RelaySimulation.SimulatedHost::name)
                .filter(name -> !name.equals(host.name()))
                .collect(Collectors.toSet());
    }
}
