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

/** Guards that news reaches all hosts though each has links to few of them. */
class RelayedLinksTest {

    /** Links that were opened while the list was incomplete are closed after 10 s. */
    private static final Duration SETTLED = Duration.ofSeconds(14);

    /** One gather interval of each hop, far above the delays of the links. */
    private static final Duration HOPS = Duration.ofMillis(50);

    /** Three missed heartbeats, a tick of the roles, a new link, and a told membership. */
    private static final Duration REPLACED = Duration.ofMillis(7500);

    @ParameterizedTest
    @CsvSource({"6, 3", "8, 4", "30, 5", "95, 5", "300, 7"})
    void aMessageToAllReachesAllHostsOverFewLinks(int hosts, int domains) {
        RelaySimulation world = new RelaySimulation(hosts, domains, 1);
        world.advanceTime(SETTLED);

        assertThat(world.hostsReachedByBroadcast(world.hosts().get(0), HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, world.hosts().get(0)));
        for (RelaySimulation.SimulatedHost member : world.hosts()) {
            int expected =
                    member.network().isRelay()
                            ? hosts / domains + 1 + 2 * domains
                            : RelayRoles.RELAYS_PER_DOMAIN;
            assertThat(world.linkCount(member)).as(member.name()).isLessThanOrEqualTo(expected);
        }
    }

    /** Guards against messages that grow with the square of the hosts. */
    @Test
    void messagesOfAnIdleHostDoNotGrowWithTheNumberOfHosts() {
        assertThat(messagesPerHostAndSecond(300)).isLessThan(1.3 * messagesPerHostAndSecond(100));
    }

    @Test
    void aLostRelayIsReplaced() {
        RelaySimulation world = new RelaySimulation(95, 5, 2);
        world.advanceTime(SETTLED);
        RelaySimulation.SimulatedHost sender = plain(world);
        world.crash(world.relays().get(0));
        world.crash(world.relays().get(3));
        world.advanceTime(REPLACED);

        assertThat(world.relays()).hasSize(10);
        assertThat(world.hostsReachedByBroadcast(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    /** Guards against a host that believes in relays that only look alive. */
    @Test
    void bothRelaysOfADomainMayBeSuspendedTogether() {
        RelaySimulation world = new RelaySimulation(95, 5, 3);
        world.advanceTime(SETTLED);
        RelaySimulation.SimulatedHost sender = plain(world);
        world.relays().stream()
                .filter(relay -> relay.domain().equals(sender.domain()))
                .forEach(world::suspend);
        world.advanceTime(REPLACED);

        assertThat(world.hostsReachedByBroadcast(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    @Test
    void aMessageForOneHostFindsItsWayBetweenPlainHosts() {
        RelaySimulation world = new RelaySimulation(95, 5, 4);
        world.advanceTime(SETTLED);
        RelaySimulation.SimulatedHost receiver = plain(world);
        Set<String> heard = new TreeSet<>();
        receiver.links()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            heard.add(message.getSender());
                            return Mono.empty();
                        });
        world.advanceTime(HOPS);
        world.hosts()
                .forEach(
                        member ->
                                member.links()
                                        .send(
                                                receiver.name(),
                                                Envelope.newBuilder()
                                                        .setDemandReport(
                                                                DemandReport
                                                                        .getDefaultInstance())));
        world.advanceTime(HOPS);

        assertThat(heard).containsExactlyInAnyOrderElementsOf(others(world, receiver));
    }

    /** Two domains cannot reach each other while the others reach both. */
    @Test
    void aMessageForOneHostTakesADetourAroundABrokenPath() {
        RelaySimulation world = new RelaySimulation(30, 3, 5);
        world.advanceTime(SETTLED);
        world.setReachability(
                (one, other) ->
                        one.domain().equals(other.domain())
                                || one.domain().name().equals("d2")
                                || other.domain().name().equals("d2"));
        world.advanceTime(REPLACED);
        RelaySimulation.SimulatedHost receiver = plain(world, "d1");
        Set<String> heard = new TreeSet<>();
        receiver.links()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            heard.add(message.getSender());
                            return Mono.empty();
                        });
        world.advanceTime(HOPS);
        RelaySimulation.SimulatedHost sender = plain(world, "d0");
        sender.links()
                .send(
                        receiver.name(),
                        Envelope.newBuilder().setDemandReport(DemandReport.getDefaultInstance()));
        world.advanceTime(HOPS);

        assertThat(heard).containsExactly(sender.name());
    }

    @Test
    void aDomainThatIsCutOffStaysConnectedWithin() {
        RelaySimulation world = new RelaySimulation(30, 3, 6);
        world.advanceTime(SETTLED);
        world.setReachability(
                (one, other) ->
                        one.domain().name().equals("d0") == other.domain().name().equals("d0"));
        world.advanceTime(REPLACED);
        RelaySimulation.SimulatedHost sender = plain(world, "d0");

        assertThat(world.hostsReachedByBroadcast(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(
                        others(world, sender).stream()
                                .filter(name -> domainOf(world, name).equals("d0"))
                                .toList());
        world.setReachability((one, other) -> true);
        world.advanceTime(REPLACED);
        assertThat(world.hostsReachedByBroadcast(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    @Test
    void anAddedHostIsReachedWithinTwoTicks() {
        RelaySimulation world = new RelaySimulation(30, 5, 7);
        world.advanceTime(SETTLED);
        RelaySimulation.SimulatedHost added = world.addHost("h999", "d2");
        world.advanceTime(Duration.ofSeconds(3));

        assertThat(world.hostsReachedByBroadcast(world.hosts().get(0), HOPS))
                .contains(added.name());
    }

    private static double messagesPerHostAndSecond(int hosts) {
        RelaySimulation world = new RelaySimulation(hosts, 5, 1);
        world.advanceTime(SETTLED);
        long before = world.messageCount();
        world.advanceTime(Duration.ofSeconds(12));
        return (world.messageCount() - before) / 12.0 / hosts;
    }

    private static RelaySimulation.SimulatedHost plain(RelaySimulation world) {
        return world.runningHosts().stream()
                .filter(member -> !member.network().isRelay())
                .findFirst()
                .orElseThrow();
    }

    private static RelaySimulation.SimulatedHost plain(RelaySimulation world, String domain) {
        return world.runningHosts().stream()
                .filter(member -> !member.network().isRelay())
                .filter(member -> member.domain().name().equals(domain))
                .findFirst()
                .orElseThrow();
    }

    private static String domainOf(RelaySimulation world, String name) {
        return world.hosts().stream()
                .filter(member -> member.name().equals(name))
                .map(member -> member.domain().name())
                .findFirst()
                .orElseThrow();
    }

    private static Set<String> others(RelaySimulation world, RelaySimulation.SimulatedHost member) {
        return world.runningHosts().stream()
                .map(RelaySimulation.SimulatedHost::name)
                .filter(name -> !name.equals(member.name()))
                .collect(Collectors.toSet());
    }
}
